/*
 * The quotas of workspaces over all entry processes. The leader of the control members grants amounts; entry processes use a
 * little before it is granted, so that few requests wait.
 */
export * from "./createDebtLimits";
export * from "./createQuotaAccount";
export * from "./createQuotaDelays";
export * from "./createQuotaLedger";
export * from "./createQuotaView";
export * from "./createRecentMaximum";
export * from "./createWorkspaceLedger";
export * from "./createWorkspaceQuotas";
export * from "./createWorkspaceUses";
export * from "./getLargestRequest";
export * from "./getQuotaTolerance";
export * from "./QuotaAccount";
export * from "./QuotaBounds";
export * from "./QuotaCharge";
export * from "./QuotaDecision";
export * from "./QuotaLedger";
export * from "./QuotaRefusal";
export * from "./QuotaRequest";
export * from "./quotaShares";
export * from "./quotaTiming";
export * from "./QuotaWaitEnd";
export * from "./QuotaWaiter";
export * from "./WorkspaceLedger";
export * from "./WorkspaceQuotas";
export * from "./WorkspaceQuotasOptions";
export * from "./WorkspaceUse";
