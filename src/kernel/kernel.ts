/** Micro-kernel: a registry of services that find each other by name. */
import { KernelError, KernelErrorKind } from "./kernel_error.ts";
import { LifeCycle, Scope } from "./life_cycle.ts";
import type { LifeCycleObserver } from "./life_cycle.ts";

/** Looks up a service that the definition lists in `dependencies`. */
export type Finder<Services> = <Name extends keyof Services>(
  name: Name,
) => Services[Name];

/** Describes how a service is created and which services it depends on. */
export interface ServiceDefinition<
  Services,
  Name extends keyof Services = keyof Services,
> {
  /** Name by which other services look it up. */
  readonly name: Name;
  /** Services that start before this one and stop after it. */
  readonly dependencies: readonly (keyof Services)[];
  /** Creates the service; `find` returns only its `dependencies`. */
  readonly create: (find: Finder<Services>, scope: Scope) => Services[Name];
}

/** Returns `definition`, type-checked against `Services`. */
export function createDefinition<Services, Name extends keyof Services>(
  definition: ServiceDefinition<Services, Name>,
): ServiceDefinition<Services, Name> {
  return definition;
}

/** Registry that starts and stops the services of one process. */
export class Kernel<Services> {
  readonly #definitions = new Map<
    keyof Services,
    ServiceDefinition<Services>
  >();
  readonly #services = new Map<keyof Services, Services[keyof Services]>();
  readonly #observer: LifeCycleObserver;
  readonly #lifeCycle: LifeCycle;

  /** Creates a kernel without services; reports failures to `observer`. */
  constructor(observer: LifeCycleObserver) {
    this.#observer = observer;
    this.#lifeCycle = new LifeCycle(observer);
  }

  /** Adds a definition; replaces an earlier one of the same name. */
  add<Name extends keyof Services>(
    definition: ServiceDefinition<Services, Name>,
  ): void {
    this.#definitions.set(
      definition.name,
      definition as unknown as ServiceDefinition<Services>,
    );
  }

  /**
   * Creates and starts all services, each one after its dependencies.
   *
   * Throws {@linkcode KernelError} for a missing or cyclic dependency before
   * any service is created.
   */
  async start(): Promise<void> {
    for (const definition of this.#resolveOrder()) {
      const scope = new Scope(String(definition.name), this.#observer);
      const service = definition.create(this.#createFinder(definition), scope);
      this.#services.set(definition.name, service);
      await this.#lifeCycle.start(scope);
    }
  }

  /** Stops services in reverse order; false if `deadline` resolves first. */
  stop(deadline: Promise<unknown>): Promise<boolean> {
    return this.#lifeCycle.stop(deadline);
  }

  /** Returns a started service; throws {@linkcode KernelError} if missing. */
  find<Name extends keyof Services>(name: Name): Services[Name] {
    const service = this.#services.get(name);
    if (service === undefined) {
      throw new KernelError({
        kind: KernelErrorKind.ServiceMissing,
        name: String(name),
        neededBy: "caller",
      });
    }
    return service as Services[Name];
  }

  #createFinder(
    definition: ServiceDefinition<Services>,
  ): Finder<Services> {
    return (name) => {
      if (definition.dependencies.includes(name)) return this.find(name);
      throw new KernelError({
        kind: KernelErrorKind.DependencyUndeclared,
        name: String(name),
        neededBy: String(definition.name),
      });
    };
  }

  #resolveOrder(): ServiceDefinition<Services>[] {
    const ordered = new Set<ServiceDefinition<Services>>();
    for (const definition of this.#definitions.values()) {
      this.#addInOrder(definition, ordered, []);
    }
    return [...ordered];
  }

  #addInOrder(
    definition: ServiceDefinition<Services>,
    ordered: Set<ServiceDefinition<Services>>,
    path: readonly string[],
  ): void {
    if (ordered.has(definition)) return;
    const name = String(definition.name);
    const extendedPath = [...path, name];
    if (path.includes(name)) {
      throw new KernelError({
        kind: KernelErrorKind.DependencyCycle,
        path: extendedPath,
      });
    }
    for (const dependency of definition.dependencies) {
      const dependencyDefinition = this.#definitions.get(dependency);
      if (dependencyDefinition === undefined) {
        throw new KernelError({
          kind: KernelErrorKind.ServiceMissing,
          name: String(dependency),
          neededBy: name,
        });
      }
      this.#addInOrder(dependencyDefinition, ordered, extendedPath);
    }
    ordered.add(definition);
  }
}
