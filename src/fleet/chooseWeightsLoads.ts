/*
 * Decides which engines take new weights next. It answers a load in which every engine out of service makes its
 * neighbours' queues longer while every answer on replaced weights is worth less: a share of a service's engines loads at
 * a time, and always the newest version, so that versions named in a row cost one load.
 */
import { NamedWeightsVersion } from "../documents";
import { FleetInstance } from "../protocol";
import { getWeightsVersion } from "./getWeightsVersion";
import { UnresponsiveEngines } from "./UnresponsiveEngines";
import { WeightsLoad } from "./WeightsLoad";

/** The share of a service's engines that loads at a time: a weight store slows down beyond about a quarter of them. */
const maximumLoadingShare = 0.25;

/**
 * Chooses the engines that start to load now.
 * @param instances - The backend servers.
 * @param targets - The named weights.
 * @param unresponsiveEngines - The engines that don't answer.
 */
export function chooseWeightsLoads(
    instances: readonly FleetInstance[],
    targets: readonly NamedWeightsVersion[],
    unresponsiveEngines: Pick<UnresponsiveEngines, "has">,
): readonly WeightsLoad[] {
    const models = new Set(targets.map(target => target.model));
    return [...models].flatMap(model => {
        const versions = targets.filter(target => target.model === model).map(target => target.weightsVersion);
        const weightsVersion = Math.max(...versions);
        const engines = instances.filter(instance => getWeightsVersion(instance, model) !== undefined);
        const loadingCount = engines.filter(engine => engine.isLoading).length;
        const availableSlotCount = Math.ceil(maximumLoadingShare * engines.length) - loadingCount;
        const isAvailable = ({ instanceId, isLeaving, isLoading }: FleetInstance) =>
            !isLeaving && !isLoading && !unresponsiveEngines.has(instanceId);
        const isOutdated = (engine: FleetInstance) => getWeightsVersion(engine, model)! < weightsVersion;
        return engines
            .filter(engine => isAvailable(engine) && isOutdated(engine))
            .sort((left, right) => getWeightsVersion(left, model)! - getWeightsVersion(right, model)!)
            .slice(0, Math.max(0, availableSlotCount))
            .map(instance => ({ instance, model, weightsVersion }));
    });
}
