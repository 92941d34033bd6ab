/*
 * Adds the crashes that a poll reports to the evidence of a control member.
 */
import { PollRequest } from "../protocol";
import { PartEvidence } from "./PartEvidence";

/**
 * Adds a report.
 * @param evidence - The evidence.
 * @param request - The poll of an entry process.
 */
export function addCrashReport(evidence: PartEvidence, request: PollRequest): void {
    const { entryId, entryIncarnation, crashes, partCompletions } = request;
    crashes.forEach(evidence.addObservation);
    evidence.setCompletions(
        `${entryId} ${entryIncarnation}`,
        new Map(partCompletions.map(({ partId, agesMilliseconds }) => [partId, agesMilliseconds])),
    );
}
