/** Width of plain text in a terminal, for the help of the bundled daemon. */

/** Gets the number of columns that a text takes. */
export default function getWidth(text) {
  return text.length;
}
