/*
 * Answers event queries from the histories that the other parts of the replicated state keep.
 */
import { QueryKind } from "../protocol";
import { EventSource } from "./EventSource";
import { StateMachinePart } from "./StateMachinePart";
import { SystemEvent } from "./SystemEvent";

/**
 * Creates the part that answers event queries. It has no state of its own.
 * @param sources - The parts that keep events.
 */
export function createEventsPart(sources: readonly EventSource[]): StateMachinePart {
    return {
        name: "events",
        apply: () => undefined,
        query: kind => kind === QueryKind.EVENTS ? getEvents() : undefined,
        takeSnapshot: () => new Uint8Array(),
        restoreSnapshot: () => undefined,
    };

    /** Gets the events of all parts, ordered by log index. */
    function getEvents(): readonly SystemEvent[] {
        const events = sources.flatMap(source => source.getEvents());
        return events.sort((first, second) => Number(BigInt(first.index) - BigInt(second.index)));
    }
}
