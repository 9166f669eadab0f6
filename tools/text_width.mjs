/** Replaces the package string-width in the bundle: its help is plain text. */

/** Gets the number of terminal columns of a text. */
export default function getWidth(text) {
  return text.length;
}
