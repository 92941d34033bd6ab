/*
 * Replication between regions that each have their own control group: which changes a region orders alone, and how they
 * reach the others. The groups are not connected yet; docs/design/regions.md describes the design.
 */
export * from "./ChangeScope";
export * from "./createRegionImportState";
export * from "./getChangeScope";
export * from "./RegionImport";
export * from "./RegionImportOutcome";
export * from "./RegionImportState";
export * from "./RegionLink";
