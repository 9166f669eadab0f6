/** Settings of the operators' tool, resolved once into a frozen object. */
import * as z from "zod";
import { ResolutionKind, resolveFlags, urlSchema } from "./flags.ts";
import type { Flag, Resolution } from "./flags.ts";

/** Form of what the tool prints. */
export enum OutputFormat {
  Text = "text",
  Json = "json",
}

/** Settings of one run of the tool. */
export interface CtlSettings {
  /** Base URL of the platform's log service. */
  readonly logUrl: URL;
  /** Operator ports of the daemons that are asked. */
  readonly daemons: readonly URL[];
  /** Key that opens the daemons' operator ports; empty when there is none. */
  readonly operatorKey: string;
  /** Form of what is printed. */
  readonly output: OutputFormat;
}

const daemonsSchema: z.ZodType<readonly URL[]> = z.string().transform(
  (text, context) => {
    const parts = text.split(",").filter((part) => part !== "");
    const urls = parts.map((part) => urlSchema.safeParse(part));
    if (urls.every((url) => url.success)) return urls.map((url) => url.data);
    context.addIssue(`"${text}" is not a list of http URLs, by commas`);
    return z.NEVER;
  },
);

/** Flags that every command of the tool takes. */
export const CTL_FLAGS = {
  "log-url": {
    description: "base URL of the platform's log service",
    schema: urlSchema,
    fallback: "http://127.0.0.1:7001",
  },
  "daemons": {
    description: "URLs of operator ports to ask, by commas",
    schema: daemonsSchema,
    fallback: "",
  },
  "operator-key": {
    description: "key that opens the operator ports",
    schema: z.string(),
    fallback: "",
  },
  "output": {
    description: "form of what is printed: text or json",
    schema: z.enum(OutputFormat),
    fallback: OutputFormat.Text,
  },
} as const satisfies Record<string, Flag>;

type FlagValues = {
  [Name in keyof typeof CTL_FLAGS]: z.infer<(typeof CTL_FLAGS)[Name]["schema"]>;
};

/** Resolves the tool's settings from the text of its flags. */
export function resolveCtlSettings(
  given: Readonly<Record<string, unknown>>,
): Resolution<CtlSettings> {
  const resolution = resolveFlags(CTL_FLAGS, given);
  if (resolution.kind === ResolutionKind.Invalid) return resolution;
  const values = resolution.settings as FlagValues;
  return {
    kind: ResolutionKind.Resolved,
    settings: Object.freeze({
      logUrl: values["log-url"],
      daemons: values["daemons"],
      operatorKey: values["operator-key"],
      output: values["output"],
    }),
  };
}
