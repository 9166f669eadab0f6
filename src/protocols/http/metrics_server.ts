/** Serves metrics as text over HTTP: `GET /metrics`. */
import type { HandlerBoundary } from "../../kernel/mod.ts";
import type { Address } from "../../settings/mod.ts";
import { createListener } from "./listener.ts";
import type { HttpListener } from "./listener.ts";

const METRICS_PATH = "/metrics";
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** Creates a server that responds with the result of `formatText`. */
export function createMetricsServer(
  address: Address,
  boundary: HandlerBoundary,
  formatText: () => string,
): HttpListener {
  return createListener(address, boundary, (request, response) => {
    if (request.url !== METRICS_PATH) {
      response.writeHead(HTTP_NOT_FOUND).end();
      return;
    }
    response.writeHead(HTTP_OK, { "content-type": "text/plain" });
    response.end(formatText());
  });
}
