/*
 * Measures by how much timers fire late. The figures of a run whose event loop lagged reflect the load of this process
 * rather than the policy.
 */
import { build } from "hdr-histogram-js";
import { Clock } from "../../runtime";
import { EventLoopLagMonitor } from "./EventLoopLagMonitor";

const sampleIntervalMilliseconds = 10;
const microsecondsPerMillisecond = 1_000;
const lagPercentile = 99;

/**
 * Starts a monitor of the event loop's lag.
 * @param clock - The clock whose sleeps are measured.
 */
export function startEventLoopLagMonitor(clock: Clock): EventLoopLagMonitor {
    const histogram = build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
    const stopped = new AbortController();
    const running = run();
    return { getLagMilliseconds, stop };

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            const start = clock.getMonotonicMilliseconds();
            await clock.sleep(sampleIntervalMilliseconds, stopped.signal);
            const lag = clock.getMonotonicMilliseconds() - start - sampleIntervalMilliseconds;
            histogram.recordValue(Math.max(0, Math.round(lag * microsecondsPerMillisecond)));
        }
    }

    function getLagMilliseconds(): number {
        return histogram.getValueAtPercentile(lagPercentile) / microsecondsPerMillisecond;
    }

    async function stop(): Promise<void> {
        stopped.abort();
        await running;
    }
}
