/*
 * Makes a control member the owner of the limits that fall to it.
 */
import { ConfigurationPart, createConfigurationView } from "../control/configuration";
import { Distribution } from "../control/distribution";
import { createQuotaOwner, createQuotaUpdateHandler } from "../limits";
import { Clock } from "../runtime";

/** What a quota owner is started from. */
interface StartQuotaOwnerOptions {
    configuration: ConfigurationPart;
    distribution: Pick<Distribution, "addUpdateHandler">;
    clock: Clock;
}

/**
 * Starts answering quota requests.
 * @returns A function that stops it.
 */
export function startQuotaOwner({ configuration, distribution, clock }: StartQuotaOwnerOptions): () => void {
    const view = createConfigurationView();
    const applyRevision = () => view.applySnapshot(configuration.getSnapshot());
    applyRevision();
    const getLimits = (level: string) =>
        view.getEffectiveSettings(level).limitsByLevel.find(levelLimits => levelLimits.level === level)?.limits;
    const removeConfigurationListener = configuration.addListener(applyRevision);
    const removeUpdateHandler = distribution.addUpdateHandler(
        createQuotaUpdateHandler(createQuotaOwner({ clock, getLimits })),
    );
    return () => {
        removeConfigurationListener();
        removeUpdateHandler();
    };
}
