/*
 * A certificate authority for tests, based on the node-forge library.
 */
import forge from "node-forge";
import { generateKeyPairSync } from "node:crypto";
import { TlsMaterial } from "../../src/security";

/** The content of a certificate that a test authority signs. */
export interface TestCertificate {
    /** The URIs in the subject alternative names. */
    names: readonly string[];
    /** When the certificate expires, in milliseconds since the epoch; a year from now if absent. */
    validUntilMilliseconds?: number;
}

/** An authority that signs certificates for tests. */
export interface TestAuthority {
    /** The authority's own certificate, in PEM. */
    certificate: string;
    /** The authority's private key, in PEM. */
    key: string;
    /** Issues a certificate, with a private key that all issued certificates share. */
    issue(options: TestCertificate): TlsMaterial;
}

const yearMilliseconds = 31_536_000_000;
let serialNumber = 1;
/** The key pair that all issued certificates share, since creating one takes long. */
let memberKeys: ReturnType<typeof createKeys> | undefined;

/**
 * Creates an authority with its own key.
 * @param name - The common name of the authority.
 */
export function createTestAuthority(name: string): TestAuthority {
    const keys = createKeys();
    const subject = [{ name: "commonName", value: name }];
    const own = createCertificate(keys.publicKey, subject, subject, Date.now() + yearMilliseconds);
    own.setExtensions([{ name: "basicConstraints", cA: true }, { name: "keyUsage", keyCertSign: true }]);
    own.sign(keys.privateKey, forge.md.sha256.create());
    const certificate = forge.pki.certificateToPem(own);
    return { certificate, key: keys.keyText, issue };

    function issue(options: TestCertificate): TlsMaterial {
        memberKeys ??= createKeys();
        const validUntil = options.validUntilMilliseconds ?? Date.now() + yearMilliseconds;
        const issued = createCertificate(
            memberKeys.publicKey,
            [{ name: "commonName", value: "member" }],
            subject,
            validUntil,
        );
        const altNames = options.names.map(value => ({ type: 6, value }));
        issued.setExtensions([
            { name: "extKeyUsage", serverAuth: true, clientAuth: true },
            ...(altNames.length === 0 ? [] : [{ name: "subjectAltName", altNames }]),
        ]);
        issued.sign(keys.privateKey, forge.md.sha256.create());
        return { certificate: forge.pki.certificateToPem(issued), key: memberKeys.keyText, authorities: certificate };
    }
}

/** Creates an unsigned certificate. */
function createCertificate(
    publicKey: forge.pki.rsa.PublicKey,
    subject: forge.pki.CertificateField[],
    issuer: forge.pki.CertificateField[],
    validUntilMilliseconds: number,
): forge.pki.Certificate {
    const certificate = forge.pki.createCertificate();
    certificate.publicKey = publicKey;
    certificate.serialNumber = (serialNumber++).toString(16).padStart(4, "0");
    certificate.validity.notBefore = new Date(Math.min(Date.now(), validUntilMilliseconds) - yearMilliseconds);
    certificate.validity.notAfter = new Date(validUntilMilliseconds);
    certificate.setSubject(subject);
    certificate.setIssuer(issuer);
    return certificate;
}

/** Creates a key pair in the formats that node-forge and TLS need. */
function createKeys(): { privateKey: forge.pki.rsa.PrivateKey; publicKey: forge.pki.rsa.PublicKey; keyText: string; } {
    const pair = generateKeyPairSync("rsa", {
        modulusLength: 2048,
        publicKeyEncoding: { type: "spki", format: "pem" },
        privateKeyEncoding: { type: "pkcs1", format: "pem" },
    });
    const privateKey = forge.pki.privateKeyFromPem(pair.privateKey);
    return { privateKey, publicKey: forge.pki.publicKeyFromPem(pair.publicKey), keyText: pair.privateKey };
}
