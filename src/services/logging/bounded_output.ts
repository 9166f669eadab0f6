/** Non-blocking output of log lines, which drops lines when it falls behind. */
import { write, writeSync } from "node:fs";
import process from "node:process";
import { Writable } from "node:stream";

/** Maximum number of buffered characters; further lines are dropped. */
const MAX_PENDING_CHARACTERS = 1_048_576;
/** Number of buffered characters from which they are written at once. */
const WRITE_SIZE_CHARACTERS = 32_768;
/**
 * Interval of writes in milliseconds. A write costs several system calls and
 * two switches of threads, more than it costs to format the line.
 */
const WRITE_INTERVAL_MS = 200;

/**
 * A stream that writes to a file descriptor from the thread pool.
 *
 * Node.js writes to pipes synchronously, so a stalled reader would block the
 * whole process. Here, only one write is in progress at a time. Lines that
 * arrive meanwhile are buffered up to a limit; beyond it, they are dropped and
 * counted. Lines of a short interval are written together; those that are
 * buffered when the process exits are written then.
 */
export class BoundedOutput extends Writable {
  readonly #descriptor: number;
  #pending: string[] = [];
  #pendingSize = 0;
  #dropped = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  /** Creates an output that writes to an open file descriptor. */
  constructor(descriptor: number) {
    super({ decodeStrings: false });
    this.#descriptor = descriptor;
    process.once("exit", () => this.#writeRest());
  }

  override _write(
    chunk: string | Uint8Array,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    this.#addLine(String(chunk));
    callback();
  }

  #addLine(line: string): void {
    if (this.#pendingSize + line.length > MAX_PENDING_CHARACTERS) {
      this.#dropped += 1;
      return;
    }
    if (this.#dropped > 0) {
      const note = `{"message":"dropped ${this.#dropped} log lines"}\n`;
      this.#dropped = 0;
      this.#addLine(note);
    }
    this.#pending.push(line);
    this.#pendingSize += line.length;
    if (this.#pendingSize >= WRITE_SIZE_CHARACTERS) return this.#writeNext();
    if (this.#isWriting) return;
    this.#timer ??= setTimeout(() => this.#writeNext(), WRITE_INTERVAL_MS)
      .unref();
  }

  #writeNext(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#pending.length === 0) return;
    this.#writeBytes(this.#collectPending());
  }

  /** Writes what is buffered when the process exits, as far as it fits. */
  #writeRest(): void {
    if (this.#pending.length === 0) return;
    try {
      writeSync(this.#descriptor, this.#collectPending());
    } catch {
      // A failure to write the log can't be reported anywhere.
    }
  }

  #collectPending(): Buffer {
    const bytes = Buffer.from(this.#pending.join(""));
    this.#pending = [];
    this.#pendingSize = 0;
    return bytes;
  }

  #writeBytes(bytes: Buffer): void {
    this.#isWriting = true;
    write(this.#descriptor, bytes, (error, written) => {
      this.#isWriting = false;
      if (error === null && written < bytes.length) {
        this.#writeBytes(bytes.subarray(written));
        return;
      }
      // A failure to write the log can't be reported anywhere.
      this.#writeNext();
    });
  }
}
