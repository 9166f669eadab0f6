import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createDefinition,
  Kernel,
  KernelError,
  KernelErrorKind,
} from "./mod.ts";
import type { ServiceDefinition } from "./mod.ts";

interface Names {
  first: string;
  second: string;
}

function createRecordingDefinition(
  name: keyof Names,
  dependencies: readonly (keyof Names)[],
  events: string[] = [],
): ServiceDefinition<Names, keyof Names> {
  return createDefinition<Names, keyof Names>({
    name,
    dependencies,
    create: (find, scope) => {
      scope.addStart(() => void events.push(`start ${name}`));
      scope.addStop(() => void events.push(`stop ${name}`));
      return dependencies.map((dependency) => find(dependency)).join() + name;
    },
  });
}

function createKernel(failures: unknown[] = []): Kernel<Names> {
  return new Kernel<Names>({
    recordFailure: (_owner, cause) => void failures.push(cause),
    recordHandlerFailure: (_owner, _peer, cause) => void failures.push(cause),
  });
}

const unresolved = new Promise<void>(() => {});

test("services start after their dependencies and stop before them", async () => {
  const events: string[] = [];
  const kernel = createKernel();
  kernel.add(createRecordingDefinition("second", ["first"], events));
  kernel.add(createRecordingDefinition("first", [], events));
  await kernel.start();
  assert.equal(kernel.find("second"), "firstsecond");
  assert.equal(await kernel.stop(unresolved), true);
  assert.deepEqual(events, [
    "start first",
    "start second",
    "stop second",
    "stop first",
  ]);
});

test("a missing dependency is reported with the service that needs it", async () => {
  const kernel = createKernel();
  kernel.add(createRecordingDefinition("second", ["first"]));
  await assert.rejects(
    kernel.start(),
    (error: KernelError) =>
      error.details.kind === KernelErrorKind.ServiceMissing &&
      error.message.includes("first, needed by second"),
  );
});

test("a dependency cycle is reported with all of its services", async () => {
  const kernel = createKernel();
  kernel.add(createRecordingDefinition("first", ["second"]));
  kernel.add(createRecordingDefinition("second", ["first"]));
  await assert.rejects(kernel.start(), /first -> second -> first/);
});

test("looking up an undeclared dependency fails", async () => {
  const kernel = createKernel();
  kernel.add(createRecordingDefinition("first", []));
  kernel.add({
    name: "second",
    dependencies: [],
    create: (find) => find("first"),
  });
  await assert.rejects(kernel.start(), /without declaring it/);
});

test("a stop that exceeds its deadline is reported and abandoned", async () => {
  const failures: unknown[] = [];
  const kernel = createKernel(failures);
  kernel.add({
    name: "first",
    dependencies: [],
    create: (_find, scope) => {
      scope.addStop(() => unresolved);
      return "first";
    },
  });
  await kernel.start();
  assert.equal(await kernel.stop(Promise.resolve()), false);
  assert.equal(failures.length, 1);
});

test("a failed task is reported, an aborted one is not", async () => {
  const failures: unknown[] = [];
  const kernel = createKernel(failures);
  kernel.add({
    name: "first",
    dependencies: [],
    create: (_find, scope) => {
      scope.addStart(() => {
        scope.runTask(() => Promise.reject(new Error("broken")));
        scope.runTask((signal) =>
          new Promise((_resolve, reject) => {
            signal.addEventListener("abort", () => reject(signal.reason));
          })
        );
      });
      return "first";
    },
  });
  await kernel.start();
  assert.equal(await kernel.stop(unresolved), true);
  assert.equal(failures.length, 1);
});
