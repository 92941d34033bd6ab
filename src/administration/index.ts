/*
 * The administration server of a process: health checks, metrics and status.
 */
export * from "./AdministrationServer";
export * from "./AdministrationServerOptions";
export * from "./startAdministrationServer";
