/*
 * Reads the identity of a process from its certificate's subject alternative names: one URI for each role, such as
 * `basilwing://companion/instance-7`.
 */
import type { X509Certificate } from "node:crypto";
import { Role } from "../settings";
import { PeerIdentity } from "./PeerIdentity";

const namePattern = /^URI:basilwing:\/\/([a-z]+)\/([A-Za-z0-9][A-Za-z0-9._-]{0,63})$/g;
const separator = ", ";

/**
 * Gets the identity that a certificate names.
 * @param certificate - A certificate that has been verified already.
 * @returns The identity; undefined if the certificate names none, an unknown role or several instances.
 */
export function getCertificateIdentity(certificate: X509Certificate): PeerIdentity | undefined {
    const names = (certificate.subjectAltName ?? "").split(separator);
    const matches = names.flatMap(name => [...name.matchAll(namePattern)]);
    const instanceIds = new Set(matches.map(match => match[2]!));
    const roles = matches.map(match => getRole(match[1]!));
    const [instanceId] = instanceIds;
    if (instanceId === undefined || instanceIds.size > 1 || roles.includes(undefined)) {
        return undefined;
    }
    return { instanceId, roles: [...new Set(roles)].filter(role => role !== undefined) };
}

/** Gets the role with a name; undefined if there is none. */
function getRole(name: string): Role | undefined {
    return Object.values(Role).find(role => role === name);
}
