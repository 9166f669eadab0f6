/** Domain types: enums and discriminated unions that all modules share. */
export * from "./configuration.ts";
export type * from "./ids.ts";
export * from "./outcomes.ts";
export * from "./records.ts";
export * from "./positions.ts";
export * from "./process.ts";
export type * from "./http_message.ts";
