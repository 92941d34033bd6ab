/*
 * The gauges of the speed of backend servers.
 */
import { GaugeName, Metrics } from "../metrics";
import { LoadTracker } from "./LoadTracker";

const percentOfUsualTime = 100;

/**
 * Adds gauges of the number of backend servers whose speed is known, and of their highest and lowest work factors.
 * @param metrics - The metrics.
 * @param loads - The load of the backend servers.
 */
export function addSpeedGauges(
    metrics: Pick<Metrics, "addGauge">,
    loads: Pick<LoadTracker, "getKnownWorkFactors">,
): void {
    metrics.addGauge(GaugeName.ServersWithSpeed, () => loads.getKnownWorkFactors().length);
    metrics.addGauge(GaugeName.HighestWorkPercent, () => getPercent(Math.max));
    metrics.addGauge(GaugeName.LowestWorkPercent, () => getPercent(Math.min));

    function getPercent(choose: (...factors: readonly number[]) => number): number {
        const factors = loads.getKnownWorkFactors();
        return Math.round(percentOfUsualTime * (factors.length > 0 ? choose(...factors) : 1));
    }
}
