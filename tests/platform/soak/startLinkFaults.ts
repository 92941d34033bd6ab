/*
 * Lets links to control members fail in series: they are delayed, cut in one direction or silent for a time, or their open
 * connections are silent for good, while new ones work.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { SoakLinkState } from "./SoakLinkState";
import { startSeries } from "./startSeries";
import { SoakProxy } from "./startSoakProxy";

const minimumFaultMilliseconds = 300;
const faultRangeMilliseconds = 2_000;
const maximumPauseMilliseconds = 800;
/** The treatments of a link; `undefined` silences its open connections for good. */
const treatments = [SoakLinkState.Delayed, SoakLinkState.CutOneWay, SoakLinkState.Silent, undefined];

/** The options of `startLinkFaults`. */
interface LinkFaultsOptions {
    /** The links. */
    links: readonly SoakProxy[];
    /** Chooses links, treatments and times. */
    random: RandomSource;
    /** Called with a description of each fault. */
    onFault: (description: string) => void;
}

/** Starts the series, and returns what ends it once the last fault has ended. */
export function startLinkFaults({ links, random, onFault }: LinkFaultsOptions): () => Promise<void> {
    return startSeries(async () => {
        const link = links[random.getInteger(links.length)]!;
        const treatment = treatments[random.getInteger(treatments.length)];
        const milliseconds = minimumFaultMilliseconds + random.getInteger(faultRangeMilliseconds);
        onFault(`link to ${link.address}: ${treatment ?? "open connections silent for good"}`);
        if (treatment === undefined) {
            link.silenceConnections();
        }
        else {
            link.setLinkState(treatment);
            await sleep(milliseconds);
            link.setLinkState(SoakLinkState.Open);
            // What the link has dropped is missing in the middle of a connection.
            link.resetConnections();
        }
        await sleep(random.getInteger(maximumPauseMilliseconds));
    });
}
