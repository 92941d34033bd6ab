/*
 * The prefix that distinguishes the subjects of whole requests from parts of prompts.
 */

/** Begins the id of each request's subject; ids of parts are hexadecimal and can't begin with it. */
export const requestSubjectPrefix = "request-";
