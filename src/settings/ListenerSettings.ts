/*
 * The settings of a listener.
 */
import { TlsSettings } from "./TlsSettings";

/** An address to listen on. */
export interface ListenerSettings {
    /** The IP address. */
    address: string;
    /** The port; 0 lets the operating system choose one. */
    port: number;
    /** The TLS files; connections are unencrypted where absent. */
    tls?: TlsSettings;
    /** Allows an unencrypted listener on an address other than loopback. */
    allowPlain?: boolean;
}
