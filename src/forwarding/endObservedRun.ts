/*
 * Tells the crash observer how an attempt ended.
 */
import { LossCause } from "../crashQuarantine";
import { AttemptEnd } from "./AttemptEnd";
import { ForwardingTask } from "./ForwardingTask";
import { SupersededReason } from "./SupersededReason";

/**
 * Ends the engine run of the last attempt. A response that ended with its request says nothing about the engine, while a
 * silent engine may have crashed.
 * @param task - The request.
 * @param end - How the attempt ended.
 * @param isServerSilent - Whether the engine is silent.
 */
export function endObservedRun(task: ForwardingTask, end: AttemptEnd, isServerSilent: boolean): void {
    const { observedRun, signal, supersededReason } = task;
    const isSilence = isServerSilent || supersededReason === SupersededReason.Silent;
    if (end === "complete") {
        observedRun?.complete();
    }
    else if (end === "lost" && (!signal.aborted || isSilence)) {
        observedRun?.lose(isSilence ? LossCause.Silence : LossCause.Connection);
    }
    else {
        observedRun?.end();
    }
}
