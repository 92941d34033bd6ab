/*
 * Publishes cache events as lines of JSON with a lag, and drops a share of them to simulate lost events.
 */
import { ServerResponse } from "node:http";
import { CacheEvent } from "../../backends";
import { Clock, RandomSource } from "../../runtime";
import { CacheEventFeed } from "./CacheEventFeed";

const maximumRetainedEvents = 10_000;

/**
 * Creates the feed of one incarnation of an engine.
 * @param incarnation - The engine's incarnation.
 * @param lagMilliseconds - The delay between an event and its publication.
 * @param getLossShare - Gets the share of events that is dropped, from 0 to 1.
 * @param clock - The clock.
 * @param random - The random source that selects the dropped events.
 */
export function createCacheEventFeed(
    incarnation: string,
    lagMilliseconds: number,
    getLossShare: () => number,
    clock: Clock,
    random: RandomSource,
): CacheEventFeed {
    const published: CacheEvent[] = [];
    const watchers = new Set<ServerResponse>();
    let number = 0;
    return { publish, addWatcher };

    function publish(kind: CacheEvent["kind"], hashes: readonly string[]): void {
        number += 1;
        const event: CacheEvent = { number, incarnation, kind, hashes };
        if (random.getFraction() < getLossShare()) {
            return;
        }
        void clock.sleep(lagMilliseconds).then(() => deliver(event));
    }

    function deliver(event: CacheEvent): void {
        published.push(event);
        if (published.length > maximumRetainedEvents) {
            published.splice(0, maximumRetainedEvents / 2);
        }
        const line = getLine(event);
        for (const watcher of watchers) {
            watcher.write(line);
        }
    }

    function addWatcher(response: ServerResponse, fromNumber: number): void {
        response.writeHead(200, { "content-type": "application/x-ndjson", "x-engine-incarnation": incarnation });
        response.flushHeaders();
        for (const event of published) {
            if (event.number >= fromNumber) {
                response.write(getLine(event));
            }
        }
        watchers.add(response);
        response.on("close", () => watchers.delete(response));
    }
}

function getLine(event: CacheEvent): string {
    return `${JSON.stringify(event)}\n`;
}
