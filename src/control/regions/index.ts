/*
 * Several regions, each with a control group of its own: which changes a region orders by itself, and how the others
 * learn of them. The groups are not linked yet; docs/design/regions.md has the whole design.
 */
export * from "./ChangeScope";
export * from "./createRegionImportState";
export * from "./getChangeScope";
export * from "./RegionImport";
export * from "./RegionImportOutcome";
export * from "./RegionImportState";
export * from "./RegionLink";
