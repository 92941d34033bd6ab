/*
 * Decides which engines load new weights next. Each loading engine lengthens the queues of the other engines, and each
 * response from replaced weights is worth less. Therefore a share of a model's engines loads at a time, and always the
 * newest version, so that several versions named in quick succession cost one load.
 */
import { NamedWeightsVersion } from "../documents";
import { FleetInstance } from "../protocol";
import { getWeightsVersion } from "./getWeightsVersion";
import { UnresponsiveEngines } from "./UnresponsiveEngines";
import { WeightsLoad } from "./WeightsLoad";

/** The maximum share of a model's engines that load at a time; a weight store slows down beyond about a quarter. */
const maximumLoadingShare = 0.25;

/**
 * Chooses the engines that start to load now, those with the oldest weights first.
 * @param instances - The backend servers.
 * @param targets - The named weights versions.
 * @param unresponsiveEngines - The engines that do not respond, which are left out.
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
