/** Runs a stand-in as a separate process: `main.js KIND PORT [NAME]`. */
import { startLogStandin } from "./log_standin.ts";
import { startServerStandin } from "./server_standin.ts";
import { startVmListStandin } from "./vm_list_standin.ts";

enum StandinKind {
  Log = "log",
  VmList = "vm_list",
  Server = "server",
}

async function startStandin(
  kind: StandinKind,
  port: number,
  name: string,
): Promise<void> {
  switch (kind) {
    case StandinKind.Log:
      await startLogStandin({ port });
      return;
    case StandinKind.VmList:
      await startVmListStandin({ port, lagMs: 500 });
      return;
    case StandinKind.Server: {
      const server = await startServerStandin({ name, port });
      server.recordsRequests = false;
      return;
    }
  }
}

const [kind, port, name] = process.argv.slice(2);
await startStandin(kind as StandinKind, Number(port), name ?? "server");
process.stdout.write("ready\n");
