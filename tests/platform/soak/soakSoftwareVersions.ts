/*
 * The software versions of the backend servers of a soak.
 */

/** The versions that serve side by side. */
export const soakSoftwareVersions = ["v1", "v1.1"];
