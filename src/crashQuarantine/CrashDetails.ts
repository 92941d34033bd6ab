/*
 * A crash of a backend server without the identity and the age of its report.
 */
import { CrashObservation } from "./CrashObservation";

/** What an entry process has seen of a crash. */
export type CrashDetails = Pick<CrashObservation, "instanceId" | "begunSubjectIds" | "waitingSubjectIds">;
