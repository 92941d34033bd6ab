/*
 * What happens after each background task has failed. A task starts again if it reads its state anew, or keeps only state
 * that each round replaces. The process ends where agreed or durable state may have been changed in part.
 */
import { TaskName } from "../metrics";
import { FailurePolicy } from "./FailurePolicy";

/** The policy of each background task. */
export const failurePolicies: Readonly<Record<TaskName, FailurePolicy>> = {
    // The age of the state grows until a response has been taken over in full.
    [TaskName.Feed]: FailurePolicy.Restart,
    [TaskName.RequestQueue]: FailurePolicy.Restart,
    [TaskName.SilenceChecks]: FailurePolicy.Restart,
    [TaskName.Probing]: FailurePolicy.Restart,
    [TaskName.SilenceNotices]: FailurePolicy.Restart,
    [TaskName.ResponseDiscarding]: FailurePolicy.GiveUp,
    // The next lost response starts another check.
    [TaskName.CrashCheck]: FailurePolicy.GiveUp,
    [TaskName.KvCacheStoreList]: FailurePolicy.Restart,
    // Reads all parts of the store anew.
    [TaskName.KvCacheStore]: FailurePolicy.Restart,
    // The streams count as unrecorded.
    [TaskName.StreamOriginBatch]: FailurePolicy.GiveUp,
    // The next batch for the member starts it again.
    [TaskName.StreamOriginRestoration]: FailurePolicy.GiveUp,
    // A promise to other members or the log itself may be half kept.
    [TaskName.ReplicatedLog]: FailurePolicy.EndProcess,
    // Nothing is acknowledged. A restarted process would not know what is committed, and accept what this one refuses.
    [TaskName.MemberMessage]: FailurePolicy.GiveUp,
    [TaskName.FleetListPolling]: FailurePolicy.Restart,
    // Waits as a new leader does until earlier orders have run out.
    [TaskName.Rollout]: FailurePolicy.Restart,
    // The engine is chosen again.
    [TaskName.WeightsLoad]: FailurePolicy.GiveUp,
    // Decisions are single commands of the replicated log.
    [TaskName.CrashQuarantine]: FailurePolicy.Restart,
    // Reads all reports anew.
    [TaskName.ServerLimits]: FailurePolicy.Restart,
    [TaskName.LoadDistribution]: FailurePolicy.Restart,
    // The polls end by themselves.
    [TaskName.FactWakeup]: FailurePolicy.GiveUp,
};
