/** Non-blocking output of log lines, which drops lines when it falls behind. */
import { write } from "node:fs";
import { Writable } from "node:stream";

/** Maximum number of buffered characters; further lines are dropped. */
const MAX_PENDING_CHARACTERS = 1_048_576;

/**
 * A stream that writes to a file descriptor from the thread pool.
 *
 * Node.js writes to pipes synchronously, so a stalled reader would block the
 * whole process. Here, only one write is in progress at a time. Lines that
 * arrive meanwhile are buffered up to a limit; beyond it, they are dropped and
 * counted.
 */
export class BoundedOutput extends Writable {
  readonly #descriptor: number;
  #pending: string[] = [];
  #pendingSize = 0;
  #dropped = 0;
  #isWriting = false;

  /** Creates an output that writes to an open file descriptor. */
  constructor(descriptor: number) {
    super({ decodeStrings: false });
    this.#descriptor = descriptor;
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
    this.#writeNext();
  }

  #writeNext(): void {
    if (this.#isWriting || this.#pending.length === 0) return;
    const bytes = Buffer.from(this.#pending.join(""));
    this.#pending = [];
    this.#pendingSize = 0;
    this.#writeBytes(bytes);
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
