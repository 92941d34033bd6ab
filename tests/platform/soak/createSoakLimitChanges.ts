/*
 * Chooses the limits of the documents of a soak, and knows which of them may be in force.
 */
import { RandomSource } from "../../../src/runtime";
import { soakBounds } from "./soakBounds";
import { SoakLimits } from "./SoakLimits";
import { soakRoutes } from "./soakRoutes";

const routePrefixes = soakRoutes.map(({ prefix }) => prefix);
/** The limits of the first document, and of all documents where they don't change. */
const firstLimits: SoakLimits = {
    maximumBodyBytes: 65_536,
    headerTimeoutMilliseconds: 3_000,
    idleTimeoutMilliseconds: 15_000,
    routeTimeouts: Object.fromEntries(routePrefixes.map(prefix => [prefix, 3_000])),
};
const bodyChoices = [4_096, 65_536, 4_194_304];
const headerTimeoutChoices = [2_000, 3_000, 10_000];
const idleTimeoutChoices = [1_000, 1_500, 2_000, 3_000, 5_000, 8_000, 15_000];
const routeTimeoutChoices = [1_500, 2_000, 3_000, 6_000, 20_000];

/** The limits of the documents of a soak. */
export interface SoakLimitChanges {
    /** Returns the limits of a document that is about to be sent: new ones, or in some documents the last ones. */
    choose(): SoakLimits;
    /** Records that the document with these limits was acknowledged. */
    recordAcknowledgement(limits: SoakLimits): void;
    /**
     * Gets how many documents were acknowledged since a time.
     * @param fromMilliseconds - The time, in milliseconds since the epoch.
     */
    getAcknowledgementCount(fromMilliseconds: number): number;
    /** Gets the idle limit of the document that was acknowledged last, in milliseconds. */
    getIdleTimeoutMilliseconds(): number;
    /**
     * Gets the shortest time limit of a route that may have been in force, in milliseconds.
     * @param prefix - The route's prefix.
     * @param fromMilliseconds - The start of the period up to now, in milliseconds since the epoch.
     */
    getShortestTimeoutMilliseconds(prefix: string, fromMilliseconds: number): number;
}

/**
 * Creates the limits.
 * @param random - Chooses them; undefined where they stay the same.
 */
export function createSoakLimitChanges(random: RandomSource | undefined): SoakLimitChanges {
    let chosen = firstLimits;
    let acknowledged = firstLimits;
    const acknowledgementTimes: number[] = [];
    /** The limits that may be in force, each until a later document has been acknowledged for long enough. */
    const sent: { limits: SoakLimits; endMilliseconds: number; }[] = [];
    return {
        choose,
        recordAcknowledgement,
        getAcknowledgementCount: fromMilliseconds =>
            acknowledgementTimes.filter(time => time >= fromMilliseconds).length,
        getIdleTimeoutMilliseconds: () => acknowledged.idleTimeoutMilliseconds,
        getShortestTimeoutMilliseconds: (prefix, fromMilliseconds) =>
            Math.min(
                ...sent.filter(({ endMilliseconds }) => endMilliseconds >= fromMilliseconds)
                    .map(({ limits }) => limits.routeTimeouts[prefix]!),
            ),
    };

    function choose(): SoakLimits {
        // The first document is that of a start, and each one has limits of its own, so that it can be told apart.
        chosen = { ...random && sent.length > 0 && random.getInteger(4) > 0 ? pickLimits(random) : chosen };
        sent.push({ limits: chosen, endMilliseconds: Infinity });
        return chosen;
    }

    function recordAcknowledgement(limits: SoakLimits): void {
        const index = sent.findIndex(document => document.limits === limits);
        const endMilliseconds = Date.now() + soakBounds.config_apply_ms;
        for (const document of sent.slice(0, index)) {
            document.endMilliseconds = Math.min(document.endMilliseconds, endMilliseconds);
        }
        acknowledged = limits;
        acknowledgementTimes.push(Date.now());
    }
}

function pickLimits(random: RandomSource): SoakLimits {
    const pick = (choices: readonly number[]) => choices[random.getInteger(choices.length)]!;
    return {
        maximumBodyBytes: pick(bodyChoices),
        headerTimeoutMilliseconds: pick(headerTimeoutChoices),
        idleTimeoutMilliseconds: pick(idleTimeoutChoices),
        routeTimeouts: Object.fromEntries(routePrefixes.map(prefix => [prefix, pick(routeTimeoutChoices)])),
    };
}
