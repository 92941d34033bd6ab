/*
 * Durable storage of the replicated log: a write-ahead log in segments, snapshots, and the term and vote.
 */
export * from "./createNodeFileSystem";
export * from "./DecodeOutcome";
export * from "./HardState";
export * from "./LockOwner";
export * from "./LogFolderContent";
export * from "./LogStorage";
export * from "./openLogStorage";
export * from "./OpenStorageOptions";
export * from "./OpenStorageOutcome";
export * from "./ProcessTable";
export * from "./readLogFolder";
export * from "./recoverAsOnlyVoter";
export * from "./RecoverOutcome";
export * from "./SegmentSummary";
export * from "./StorageFile";
export * from "./StorageFileSystem";
export * from "./StorageWriteOutcome";
export * from "./StoredSnapshot";
export * from "./temporaryFileSuffix";
