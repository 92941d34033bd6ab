/*
 * The quarantine of parts of prompts at an entry process.
 */
import { FleetInstance } from "../protocol";
import { CrashReport } from "./CrashReport";
import { EngineRun } from "./EngineRun";

/** Knows the parts that crash engines, and observes crashes. */
export interface PromptQuarantine {
    /**
     * Returns whether requests with one of these parts are refused.
     * @param partIds - The ids of the shared parts of a prompt.
     */
    isQuarantined(partIds: readonly string[]): boolean;
    /**
     * Returns whether one of these parts may have caused several crashes, so that a lost request with it is not sent
     * again.
     * @param partIds - The ids of the shared parts of a prompt.
     */
    isSuspected(partIds: readonly string[]): boolean;
    /**
     * Begins a run at an engine.
     * @param instance - The engine.
     * @param partIds - The ids of the shared parts of the request's prompt.
     */
    beginRun(instance: FleetInstance, partIds: readonly string[]): EngineRun;
    /** Gets what the entry process reports to control with each poll. */
    getReport(): CrashReport;
}
