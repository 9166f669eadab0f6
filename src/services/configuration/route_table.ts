/** Lookup of routes by host, method and longest matching path prefix. */
import type { Route } from "../../model/mod.ts";

const ANY_METHOD = "*";

/** An index of routes by host, method and path prefix. */
export class RouteTable {
  readonly #routes = new Map<string, Route>();

  /** Sets a route; replaces one with the same host, method and path. */
  set(route: Route): void {
    this.#routes.set(formatRouteKey(route), route);
  }

  /** Removes a route unless another one has replaced it. */
  remove(route: Route): void {
    const key = formatRouteKey(route);
    if (this.#routes.get(key)?.id === route.id) this.#routes.delete(key);
  }

  /**
   * Finds the route for a request; returns undefined if none matches.
   *
   * `path` excludes the query. In order of precedence, a match is better with a
   * longer path prefix, with the exact host, and with the exact method.
   */
  find(method: string, path: string, host = ""): Route | undefined {
    for (const prefix of listPrefixes(path)) {
      const route = this.#findAt(method, prefix, host) ??
        this.#findAt(method, prefix, undefined);
      if (route !== undefined) return route;
    }
    return undefined;
  }

  #findAt(
    method: string,
    path: string,
    host: string | undefined,
  ): Route | undefined {
    return this.#routes.get(formatRouteKey({ host, method, path })) ??
      this.#routes.get(formatRouteKey({ host, method: ANY_METHOD, path }));
  }
}

function formatRouteKey(
  key: {
    readonly method: string;
    readonly path: string;
    host?: string | undefined;
  },
): string {
  return `${key.host ?? "*"} ${key.method} ${key.path}`;
}

/** Yields the prefixes of a path, such as `/a/b`, `/a/`, `/a` and `/`. */
function* listPrefixes(path: string): Generator<string> {
  let prefix = path;
  while (prefix.length > 1) {
    yield prefix;
    const slash = prefix.lastIndexOf("/");
    prefix = slash === prefix.length - 1
      ? prefix.slice(0, slash)
      : prefix.slice(0, slash + 1);
  }
  yield "/";
}
