/*
 * The limits on one peer's use of each service. They lie far above what a correct peer sends, and keep a faulty or
 * compromised peer from exhausting the resources of the process.
 */
import type { DescService } from "@bufbuild/protobuf";
import { CompanionService } from "./generated/basilwing/v1/companion_pb";
import { ConsensusService } from "./generated/basilwing/v1/consensus_pb";
import { ControlService } from "./generated/basilwing/v1/control_pb";
import { FeedService, StreamOriginService } from "./generated/basilwing/v1/forwarding_pb";
import { ServiceLimits } from "./ServiceLimits";

const bytesPerMebibyte = 1_048_576;
const defaultLimits: ServiceLimits = { maximumMessageBytes: 65_536, messagesPerSecond: 10, messageBurst: 20 };
const limitsByService: Readonly<Record<string, ServiceLimits>> = {
    [CompanionService.typeName]: {
        maximumMessageBytes: 32 * bytesPerMebibyte,
        messagesPerSecond: 5_000,
        messageBurst: 10_000,
    },
    [ConsensusService.typeName]: {
        maximumMessageBytes: 32 * bytesPerMebibyte,
        messagesPerSecond: 5_000,
        messageBurst: 10_000,
    },
    [ControlService.typeName]: {
        maximumMessageBytes: 16 * bytesPerMebibyte,
        messagesPerSecond: 5_000,
        messageBurst: 10_000,
    },
    [FeedService.typeName]: {
        maximumMessageBytes: bytesPerMebibyte,
        messagesPerSecond: 200,
        messageBurst: 1_000,
    },
    [StreamOriginService.typeName]: {
        maximumMessageBytes: bytesPerMebibyte,
        messagesPerSecond: 1_000,
        messageBurst: 2_000,
    },
};

/**
 * Gets the limits of a service.
 * @param service - The service's descriptor.
 * @returns The limits; strict defaults for a service that is not listed.
 */
export function getServiceLimits(service: DescService): ServiceLimits {
    return limitsByService[service.typeName] ?? defaultLimits;
}
