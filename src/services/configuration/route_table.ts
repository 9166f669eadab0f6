/** Finds the route with the longest path prefix that a request matches. */
import type { Route } from "../../model/mod.ts";

const ANY_METHOD = "*";

/** An index of routes by method and path. */
export class RouteTable {
  readonly #routes = new Map<string, Route>();

  /** Sets a route; one of the same method and path gives way to it. */
  set(route: Route): void {
    this.#routes.set(formatRouteKey(route.method, route.path), route);
  }

  /** Removes a route unless another one has taken its place. */
  remove(route: Route): void {
    const key = formatRouteKey(route.method, route.path);
    if (this.#routes.get(key)?.id === route.id) this.#routes.delete(key);
  }

  /**
   * Finds the route for a request; undefined when none matches.
   *
   * `path` has no query. A longer prefix goes before a matching method.
   */
  find(method: string, path: string): Route | undefined {
    for (const prefix of listPrefixes(path)) {
      const route = this.#routes.get(formatRouteKey(method, prefix)) ??
        this.#routes.get(formatRouteKey(ANY_METHOD, prefix));
      if (route !== undefined) return route;
    }
    return undefined;
  }
}

function formatRouteKey(method: string, path: string): string {
  return `${method} ${path}`;
}

/** Yields `/a/b`, `/a` and `/` for `/a/b`. */
function* listPrefixes(path: string): Generator<string> {
  let prefix = path.length > 1 && path.endsWith("/") ? path.slice(0, -1) : path;
  while (prefix.length > 1) {
    yield prefix;
    prefix = prefix.slice(0, prefix.lastIndexOf("/"));
  }
  yield "/";
}
