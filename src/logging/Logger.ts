/*
 * The logger's type, so that other modules don't depend on the logging library.
 */
import type bunyan from "bunyan";

/** A structured logger; `child` creates a logger that adds fields, such as a request's id, to each line. */
export type Logger = bunyan;
