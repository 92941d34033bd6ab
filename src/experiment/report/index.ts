/*
 * The table and the HTML report of an experiment.
 */
export * from "./createReport";
export * from "./getTableRows";
