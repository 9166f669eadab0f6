/** Domain types: enums and tagged unions that the whole project shares. */
export * from "./configuration.ts";
export type * from "./ids.ts";
export * from "./outcomes.ts";
export * from "./records.ts";
export * from "./process.ts";
export type * from "./http_message.ts";
