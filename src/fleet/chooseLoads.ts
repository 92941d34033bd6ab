/*
 * Decides which engines take new weights next. It answers a load in which every engine out of service makes its
 * neighbours' queues longer while every answer on replaced weights is worth less: a share of a service's engines loads at
 * a time, and always the newest version, so that versions named in a row cost one load.
 */
import { NamedWeightsVersion } from "../documents";
import { FleetInstance } from "../protocol";
import { getWeightsVersion } from "./getWeightsVersion";
import { LoadChoice } from "./LoadChoice";
import { SilentEngines } from "./SilentEngines";

/** The share of a service's engines that loads at a time: a weight store slows down beyond about a quarter of them. */
const loadShare = 0.25;

/**
 * Chooses the engines that start to load now.
 * @param instances - The backend servers.
 * @param targets - The named weights.
 * @param silentEngines - The engines that don't answer.
 */
export function chooseLoads(
    instances: readonly FleetInstance[],
    targets: readonly NamedWeightsVersion[],
    silentEngines: Pick<SilentEngines, "has">,
): readonly LoadChoice[] {
    const models = new Set(targets.map(target => target.model));
    return [...models].flatMap(model => {
        const versions = targets.filter(target => target.model === model).map(target => target.weightsVersion);
        const weightsVersion = Math.max(...versions);
        const engines = instances.filter(instance => getWeightsVersion(instance, model) !== undefined);
        const loadingCount = engines.filter(engine => engine.isLoading).length;
        const freeCount = Math.ceil(loadShare * engines.length) - loadingCount;
        const isChoosable = ({ instanceId, isLeaving, isLoading }: FleetInstance) =>
            !isLeaving && !isLoading && !silentEngines.has(instanceId);
        const isOld = (engine: FleetInstance) => getWeightsVersion(engine, model)! < weightsVersion;
        return engines
            .filter(engine => isChoosable(engine) && isOld(engine))
            .sort((left, right) => getWeightsVersion(left, model)! - getWeightsVersion(right, model)!)
            .slice(0, Math.max(0, freeCount))
            .map(instance => ({ instance, model, weightsVersion }));
    });
}
