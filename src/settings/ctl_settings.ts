/** Settings of `rhubarbctl`, resolved once into a frozen object. */
import * as z from "zod";
import { ResolutionKind, resolveFlags, urlSchema } from "./flags.ts";
import type { Flag, Resolution } from "./flags.ts";

/** Output format of `rhubarbctl`. */
export enum OutputFormat {
  Text = "text",
  Json = "json",
}

/** Settings of one run of `rhubarbctl`. */
export interface CtlSettings {
  /** Base URL of the platform's log service. */
  readonly logUrl: URL;
  /** URLs of the operator ports of the daemons to query. */
  readonly daemons: readonly URL[];
  /** Key for the daemons' operator ports; empty if there is none. */
  readonly operatorKey: string;
  /** Output format. */
  readonly output: OutputFormat;
}

const daemonsSchema: z.ZodType<readonly URL[]> = z.string().transform(
  (text, context) => {
    const parts = text.split(",").filter((part) => part !== "");
    const urls = parts.map((part) => urlSchema.safeParse(part));
    if (urls.every((url) => url.success)) return urls.map((url) => url.data);
    context.addIssue(`"${text}" is not a comma-separated list of http URLs`);
    return z.NEVER;
  },
);

/** Flags that all commands of `rhubarbctl` accept. */
export const CTL_FLAGS = {
  "log-url": {
    description: "base URL of the platform's log service",
    schema: urlSchema,
    fallback: "http://127.0.0.1:7001",
  },
  "daemons": {
    description: "comma-separated URLs of the operator ports to query",
    schema: daemonsSchema,
    fallback: "",
  },
  "operator-key": {
    description: "key for the operator ports",
    schema: z.string(),
    fallback: "",
  },
  "output": {
    description: "output format: text or json",
    schema: z.enum(OutputFormat),
    fallback: OutputFormat.Text,
  },
} as const satisfies Record<string, Flag>;

type FlagValues = {
  [Name in keyof typeof CTL_FLAGS]: z.infer<(typeof CTL_FLAGS)[Name]["schema"]>;
};

/** Resolves the settings of `rhubarbctl` from the text of its flags. */
export function resolveCtlSettings(
  input: Readonly<Record<string, unknown>>,
): Resolution<CtlSettings> {
  const resolution = resolveFlags(CTL_FLAGS, input);
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
