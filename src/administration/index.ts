/*
 * Health checks and metrics of a process.
 */
export * from "./AdministrationServer";
export * from "./AdministrationServerOptions";
export * from "./startAdministrationServer";
