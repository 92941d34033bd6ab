/*
 * Makes a control member grant quotas for the limits that it owns.
 */
import { ConfigurationPart, createConfigurationView } from "../control/configuration";
import { Distribution } from "../control/distribution";
import { createQuotaOwner, createQuotaUpdateHandler } from "../limits";
import { Clock } from "../runtime";

/** The options of a quota owner. */
interface StartQuotaOwnerOptions {
    /** The configuration with the limits. */
    configuration: ConfigurationPart;
    /** The sessions that send quota requests. */
    distribution: Pick<Distribution, "addUpdateHandler">;
    /** The clock by which grants are metered. */
    clock: Clock;
}

/**
 * Starts granting quota requests.
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
