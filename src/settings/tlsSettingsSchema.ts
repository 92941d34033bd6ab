/*
 * The schema of a TLS identity's settings.
 */

/** The schema of {@link TlsSettings}. */
export const tlsSettingsSchema = {
    type: "object",
    description: "The files of a TLS identity; reloaded when they change.",
    additionalProperties: false,
    required: ["certificateFile", "keyFile"],
    properties: {
        certificateFile: {
            type: "string",
            minLength: 1,
            description: "The file with the certificate chain, in PEM.",
        },
        keyFile: { type: "string", minLength: 1, description: "The file with the private key, in PEM." },
        authorityFile: {
            type: "string",
            minLength: 1,
            description: "The file with the authorities that verify peers' certificates, in PEM; enables mutual TLS.",
        },
    },
};
