/*
 * The format of the names of workspaces, teams and subscribers.
 */

/** Matches a letter or digit, then up to 63 letters, digits, dots, dashes and underscores. */
export const levelNamePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
