/*
 * What filling a new group's tree needs.
 */
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { ConfigurationSource } from "./configuration";
import { ControlClient } from "./ControlClient";
import { Leadership } from "./distribution";

/** The options of the first change. */
export interface InitialConfigurationImportOptions {
    /** The file with the configuration; none where absent. */
    file: string | undefined;
    /** Whether this member leads. */
    leadership: Leadership;
    /** The configuration here. */
    configuration: ConfigurationSource;
    /** Commits the change. */
    client: ControlClient;
    /** The passing of time. */
    clock: Clock;
    /** Where events are logged. */
    logger: Logger;
}
