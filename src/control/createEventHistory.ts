/*
 * A bounded list of events, the same at every member since it is fed by committed commands alone.
 */
import { ApplyContext } from "./consensus";
import { EventHistory } from "./EventHistory";
import { EventKind } from "./EventKind";
import { SystemEvent } from "./SystemEvent";

/**
 * Creates an event history.
 * @param maximumEvents - How many events are kept.
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
