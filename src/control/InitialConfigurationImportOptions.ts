/*
 * The options of the import of a new group's first configuration.
 */
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { ConfigurationSource } from "./configuration";
import { ControlClient } from "./ControlClient";
import { Leadership } from "./distribution";

/** The options of the initial configuration import. */
export interface InitialConfigurationImportOptions {
    /** The path of the configuration file; undefined if there is nothing to import. */
    file: string | undefined;
    /** This member's leadership; only the leader imports the file. */
    leadership: Leadership;
    /** The configuration as this member has applied it. */
    configuration: ConfigurationSource;
    /** The client that commits the change. */
    client: ControlClient;
    /** The clock that delays are taken from. */
    clock: Clock;
    /** The logger. */
    logger: Logger;
}
