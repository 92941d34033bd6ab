import tseslint from "typescript-eslint";

const namingRules = [
    "error",
    { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
    { selector: "enumMember", format: ["PascalCase"] },
    { selector: ["variable", "function", "parameter"], format: ["camelCase"], leadingUnderscore: "forbid" },
    { selector: "variable", filter: "^BASILWING_(VERSION|CHART_SOURCE)$", format: ["UPPER_CASE"] },
    { selector: "variable", modifiers: ["global", "const"], format: ["camelCase", "PascalCase"] },
];

const nullRule = { selector: "Literal[raw='null']", message: "Use undefined, not null." };

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "journal/**", "node_modules/**", "src/protocol/generated/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/naming-convention": namingRules,
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/no-unused-expressions": "off",
            "arrow-body-style": "off",
            "brace-style": ["error", "stroustrup", { allowSingleLine: true }],
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "max-lines": ["error", { max: 300, skipComments: true, skipBlankLines: true }],
            "max-depth": ["error", 4],
            "no-restricted-syntax": ["error", nullRule, {
                selector: "MemberExpression[object.name='AbortSignal'][property.name='timeout']",
                message: "Use runWithTimeout: Node collects timeout signals as garbage once they are combined.",
            }],
            "no-var": "error",
            "one-var": ["error", "never"],
            "prefer-const": "error",
        },
    },
    {
        // Background tasks are started by startTask; other promises are left to themselves by detach only.
        files: ["platform/**/*.ts", "src/**/*.ts"],
        ignores: [
            "src/administration/**",
            "src/commands/**",
            "src/control/*.ts",
            "src/control/distribution/**",
            "src/control/operators/**",
            "src/control/placement/**",
            "src/entry/**",
            "src/main.ts",
            "src/membership/**",
            "src/sidecar/**",
            "src/standIns/**",
        ],
        rules: { "@typescript-eslint/no-floating-promises": ["error", { ignoreVoid: false }] },
    },
    {
        files: ["tests/**/*.ts"],
        rules: { "max-lines": "off", "no-restricted-syntax": ["error", nullRule] },
    },
);
