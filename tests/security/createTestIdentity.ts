/*
 * A TLS identity without files, whose material a test can replace at any time.
 */
import { createSecureContext, SecureContext } from "node:tls";
import { TlsIdentity, TlsMaterial } from "../../src/security";

/** An identity whose material a test can replace. */
export interface TestIdentity extends TlsIdentity {
    /** Replaces the material and calls the listeners, as a reload of changed files does. */
    setMaterial(material: TlsMaterial): void;
}

/**
 * Creates an identity from certificates in memory.
 * @param initialMaterial - The material in use at first.
 */
export function createTestIdentity(initialMaterial: TlsMaterial): TestIdentity {
    const listeners = new Set<() => void>();
    let material = initialMaterial;
    return {
        getMaterial: () => material,
        getSecureContext,
        addChangeListener,
        setMaterial,
        stop: async () => listeners.clear(),
    };

    function getSecureContext(): SecureContext {
        const { certificate, key, authorities } = material;
        return createSecureContext({ cert: certificate, key, ca: authorities, minVersion: "TLSv1.3" });
    }

    function addChangeListener(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    function setMaterial(newMaterial: TlsMaterial): void {
        material = newMaterial;
        listeners.forEach(listener => listener());
    }
}
