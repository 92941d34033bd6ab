/*
 * Keeps a bounded list of events, which is the same at every member because only committed commands add to it.
 */
import { ApplyContext } from "./consensus";
import { EventHistory } from "./EventHistory";
import { EventKind } from "./EventKind";
import { SystemEvent } from "./SystemEvent";

/**
 * Creates an event history.
 * @param maximumEvents - The maximum number of retained events.
 */
export function createEventHistory(maximumEvents: number): EventHistory {
    let events: SystemEvent[] = [];
    return { addEvent, replaceEvents, getEvents: () => events };

    function addEvent(context: ApplyContext, kind: EventKind, subject: string, text: string): void {
        const { index, timeMilliseconds } = context;
        events = [...events, { index: index.toString(), timeMilliseconds, kind, subject, text }].slice(-maximumEvents);
    }

    function replaceEvents(newEvents: readonly SystemEvent[]): void {
        events = newEvents.slice(-maximumEvents);
    }
}
