/*
 * How much one peer may ask of each service. The bounds lie far above what a sound peer sends, and keep a broken or
 * captured one from using up the process.
 */
import type { DescService } from "@bufbuild/protobuf";
import { CompanionService } from "./generated/basilwing/v1/companion_pb";
import { ConsensusService } from "./generated/basilwing/v1/consensus_pb";
import { ControlService } from "./generated/basilwing/v1/control_pb";
import { FeedService } from "./generated/basilwing/v1/forwarding_pb";
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
};

/**
 * Gets the bounds of a service.
 * @param service - The service's description.
 */
export function getServiceLimits(service: DescService): ServiceLimits {
    return limitsByService[service.typeName] ?? defaultLimits;
}
