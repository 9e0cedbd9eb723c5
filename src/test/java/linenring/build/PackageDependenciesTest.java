package linenring.build;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the dependency rules between packages, which docs/architecture.md describes. Change a rule here and on that page in
 * the same commit.
 */
class PackageDependenciesTest {
    private static final String ROOT = "linenring";

    /** Packages of the project that each package may use. Test sources are not checked. */
    private static final Map<String, Set<String>> ALLOWED = Map.ofEntries(
            // values and decisions: settings, codecs and the planner
            Map.entry("log", Set.of()),
            Map.entry("kdl", Set.of()),
            Map.entry("planner", Set.of()),
            Map.entry("settings", Set.of("planner")),
            Map.entry("protocol", Set.of("settings")),
            Map.entry("configuration", Set.of("planner", "protocol", "settings")),
            // controller: endpoint tables, discovery and streams to proxies
            Map.entry("event", Set.of("protocol")),
            Map.entry("stream", Set.of("event", "log", "protocol")),
            Map.entry("discovery", Set.of("event", "log", "protocol")),
            Map.entry("controller", Set.of("event", "log", "planner", "protocol", "settings")),
            // gateway: HTTP/2 forwarding to hosts
            Map.entry("routing", Set.of("planner", "protocol")),
            Map.entry("gateway.settings", Set.of("kdl", "routing", "settings")),
            Map.entry("gateway", Set.of("event", "gateway.settings", "log", "planner", "protocol", "routing")),
            // upgrade: handover of sockets between two processes
            Map.entry("handover.wire", Set.of()),
            Map.entry("handover", Set.of("handover.wire", "log", "protocol")),
            // test tools: test backend, load generator, simulator
            Map.entry("testserver", Set.of()),
            Map.entry("load", Set.of("testserver")),
            Map.entry("simulator", Set.of("planner", "settings")),
            // scale runs: capacity measurements of a controller
            Map.entry("scale.measurement", Set.of()),
            Map.entry("scale.sockets", Set.of()),
            Map.entry("scale.report.fit", Set.of()),
            Map.entry("scale.report", Set.of("scale.measurement", "scale.report.fit")),
            Map.entry("scale.settings", Set.of("kdl", "scale.measurement")),
            Map.entry("scale.catalogue", Set.of("protocol", "scale.sockets")),
            Map.entry(
                    "scale.fleet",
                    Set.of(
                            "configuration",
                            "controller",
                            "discovery",
                            "event",
                            "log",
                            "planner",
                            "protocol",
                            "routing",
                            "scale.sockets")),
            Map.entry("scale.process", Set.of("scale.fleet")),
            Map.entry(
                    "scale.run",
                    Set.of(
                            "configuration",
                            "routing",
                            "scale.catalogue",
                            "scale.fleet",
                            "scale.measurement",
                            "scale.process",
                            "scale.report",
                            "scale.settings")),
            // command line
            Map.entry(
                    "cli",
                    Set.of(
                            "configuration",
                            "controller",
                            "discovery",
                            "event",
                            "gateway",
                            "gateway.settings",
                            "handover",
                            "handover.wire",
                            "kdl",
                            "load",
                            "log",
                            "planner",
                            "protocol",
                            "routing",
                            "scale.run",
                            "settings",
                            "simulator",
                            "stream",
                            "testserver")));

    /** Types that routing may use from planner and protocol: decoded endpoint tables and inbound messages, and two settings enums. */
    private static final Set<String> SHARED_WITH_ROUTING = Set.of(
            "linenring.planner.Commands$RetryPolicy",
            "linenring.planner.PlannerSettings$AdmissionUnit",
            "linenring.protocol.ConfigurationUpdate",
            "linenring.protocol.ConfigurationUpdate$AdmissionPolicy",
            "linenring.protocol.ConfigurationUpdate$TableEntry",
            "linenring.protocol.ConfigurationUpdate$Part",
            "linenring.protocol.HostList",
            "linenring.protocol.HostList$Entry",
            "linenring.protocol.HostList$State",
            "linenring.protocol.InboundMessage",
            "linenring.protocol.InboundMessage$LoadReport",
            "linenring.protocol.InboundMessage$RequestRateReport");

    private static final JavaClasses PROJECT = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages(ROOT);

    private static Set<String> packages() {
        return PROJECT.stream()
                .map(JavaClass::getPackageName)
                .filter(name -> !name.equals(ROOT))
                .map(name -> name.substring(ROOT.length() + 1))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static String[] qualified(Stream<String> packages) {
        return packages.map(name -> ROOT + "." + name).toArray(String[]::new);
    }

    private static DescribedPredicate<JavaClass> sharedWithRouting() {
        return DescribedPredicate.describe("shared with routing", type -> SHARED_WITH_ROUTING.contains(type.getName()));
    }

    @Test
    void everyPackageHasARule() {
        assertEquals(new TreeSet<>(ALLOWED.keySet()), packages());
    }

    @Test
    void packagesUseOnlyAllowedPackages() {
        ALLOWED.forEach((name, allowed) -> noClasses()
                .that()
                .resideInAPackage(ROOT + "." + name)
                .should()
                .dependOnClassesThat(resideInAPackage(ROOT + "..")
                        .and(DescribedPredicate.not(
                                resideInAnyPackage(qualified(Stream.concat(Stream.of(name), allowed.stream()))))))
                .check(PROJECT));
    }

    @Test
    void packageDependenciesHaveNoCycles() {
        slices().matching(ROOT + ".(**)").should().beFreeOfCycles().check(PROJECT);
    }

    /** The planner must not use I/O, libraries or a clock, so that replaying a history produces the same decisions. */
    @Test
    void plannerUsesOnlyTheJavaCoreLibrary() {
        classes()
                .that()
                .resideInAPackage(ROOT + ".planner..")
                .should()
                .onlyDependOnClassesThat(resideInAnyPackage(ROOT + ".planner..", "java.lang..", "java.util.."))
                .check(PROJECT);
        noClasses()
                .that()
                .resideInAPackage(ROOT + ".planner..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(PROJECT);
    }

    @Test
    void routingUsesOnlyListedTypesOfPlannerAndProtocol() {
        noClasses()
                .that()
                .resideInAPackage(ROOT + ".routing")
                .should()
                .dependOnClassesThat(resideInAnyPackage(ROOT + ".planner..", ROOT + ".protocol..")
                        .and(DescribedPredicate.not(sharedWithRouting())))
                .check(PROJECT);
    }

    /** Libraries for I/O, parsing and native access may be used only by the packages that are responsible for them. */
    @Test
    void librariesAreUsedOnlyByResponsiblePackages() {
        assertUsedOnlyIn(
                "org.eclipse.jetty..",
                "stream",
                "discovery",
                "gateway",
                "testserver",
                "load",
                "cli",
                "scale.fleet",
                "scale.run");
        assertUsedOnlyIn("org.antlr..", "kdl");
        assertUsedOnlyIn("com.networknt..", "kdl");
        assertUsedOnlyIn("picocli..", "cli");
        assertUsedOnlyIn("com.google.protobuf..", "handover", "handover.wire", "cli");
        assertUsedOnlyIn("com.sun.jna..", "handover");
    }

    private static void assertUsedOnlyIn(String library, String... packages) {
        noClasses()
                .that()
                .resideOutsideOfPackages(qualified(Stream.of(packages)))
                .should()
                .dependOnClassesThat()
                .resideInAPackage(library)
                .check(PROJECT);
    }
}
