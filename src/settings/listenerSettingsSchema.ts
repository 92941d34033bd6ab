/*
 * The schema of a listener's settings.
 */
import { tlsSettingsSchema } from "./tlsSettingsSchema";

/** The schema of {@link ListenerSettings}. */
export const listenerSettingsSchema = {
    type: "object",
    description: "An address to listen on.",
    additionalProperties: false,
    required: ["address", "port"],
    properties: {
        address: { type: "string", format: "ip", description: "The IP address." },
        port: {
            type: "integer",
            minimum: 0,
            maximum: 65_535,
            description: "The port; 0 lets the operating system choose one.",
        },
        tls: tlsSettingsSchema,
        allowPlain: {
            type: "boolean",
            description: "Allows an unencrypted listener on an address other than loopback.",
        },
    },
};
