/** Decodes the header field `Retry-After` of a server's response. */

const MS_PER_SECOND = 1_000;
const SECONDS_PATTERN = /^\d{1,12}(\.\d{1,9})?$/;
/** Matches the form of an HTTP date (RFC 9110, 5.6.7), such as `Sun, 06 Nov`. */
const DATE_PATTERN = /^[A-Z][a-z]{2,8},? /;

/**
 * Parses seconds, which may have a fraction, or an HTTP date into the
 * milliseconds from `wallNow` (Unix milliseconds). Undefined if the value is
 * neither, or is not in the future.
 */
export function parseRetryAfter(
  value: string | undefined,
  wallNow: number,
): number | undefined {
  const text = value?.trim() ?? "";
  const ms = SECONDS_PATTERN.test(text)
    ? Number(text) * MS_PER_SECOND
    : DATE_PATTERN.test(text)
    ? Date.parse(text) - wallNow
    : NaN;
  return ms > 0 ? ms : undefined;
}
