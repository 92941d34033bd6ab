/*
 * The workspace whose cached parts no other one may use.
 */

/** The name of the isolated workspace in a soak. */
export const soakIsolatedWorkspace = "loner";
