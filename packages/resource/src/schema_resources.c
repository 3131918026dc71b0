#include "schema.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))

/* Largest values. The deadline allows for the long reads of bulk services. The
   idempotency window of 24 h is at most half the retention of a log that keeps
   two days.  */
#define DEADLINE_MS_MAX 3600000
#define REPEAT_WINDOW_S_MAX 86400
#define QUEUE_LIMIT_MAX 100000
#define SLOTS_MAX 4096
#define CONNECTIONS_MAX 65535
#define ENTRY_HOSTS_MAX 1000
#define WEIGHT_MAX 1000
#define MOVES_PER_MINUTE_MAX 10000

/* Defaults.  */
#define ENTRY_HOSTS_DEFAULT 12
#define DEADLINE_MS_DEFAULT 2000
#define RETRY_BUDGET_PERCENT_DEFAULT 20
#define WEIGHT_DEFAULT 1
#define MOVES_PER_MINUTE_DEFAULT 60

static const char *const repeat_names[] = { "idempotent", "never", NULL };
static const char *const class_names[] = { "urgent", "normal", "bulk", NULL };
static const char *const witnesses_names[] = { "zone", "region", NULL };

#define NAME_FIELD(kind, field)                                               \
  {                                                                           \
    .name = #field, .type = BGAP_SCHEMA_NAME,                                 \
    .offset = offsetof (struct kind, field), .required = true                 \
  }

static const struct bgap_schema_field owner_fields[] = {
  NAME_FIELD (bgap_resource_owner, name),
  NAME_FIELD (bgap_resource_owner, owner),
  {
      .name = "entry_hosts_max",
      .type = BGAP_SCHEMA_UINT,
      .offset = offsetof (struct bgap_resource_owner, entry_hosts_max),
      .min = 1,
      .max = ENTRY_HOSTS_MAX,
      .default_value = ENTRY_HOSTS_DEFAULT,
  },
  {
      .name = "token_sha256",
      .type = BGAP_SCHEMA_DIGEST,
      .offset = offsetof (struct bgap_resource_owner, token_sha256),
  },
};

static const struct bgap_schema_field zone_fields[] = {
  NAME_FIELD (bgap_resource_zone, name),
  NAME_FIELD (bgap_resource_zone, owner),
  NAME_FIELD (bgap_resource_zone, region),
};

#define WEIGHT_FIELD(field)                                                   \
  {                                                                           \
    .name = #field, .type = BGAP_SCHEMA_UINT,                                 \
    .offset = offsetof (struct bgap_resource_weights, field),                 \
    .max = WEIGHT_MAX, .default_value = WEIGHT_DEFAULT                        \
  }

static const struct bgap_schema_field weights_fields[] = {
  WEIGHT_FIELD (imbalance),
  WEIGHT_FIELD (unavailable),
  WEIGHT_FIELD (churn),
};

static const struct bgap_schema weights_schema = {
  .name = "weights",
  .size = sizeof (struct bgap_resource_weights),
  .fields = weights_fields,
  .field_count = COUNT (weights_fields),
};

static const struct bgap_schema_field policy_fields[] = {
  NAME_FIELD (bgap_resource_policy, name),
  NAME_FIELD (bgap_resource_policy, owner),
  {
      .name = "witnesses",
      .type = BGAP_SCHEMA_CHOICE,
      .offset = offsetof (struct bgap_resource_policy, witnesses),
      .choices = witnesses_names,
      .required = true,
  },
  {
      .name = "weights",
      .type = BGAP_SCHEMA_MAPPING,
      .offset = offsetof (struct bgap_resource_policy, weights),
      .schema = &weights_schema,
  },
  {
      .name = "moves_per_minute",
      .type = BGAP_SCHEMA_UINT,
      .offset = offsetof (struct bgap_resource_policy, moves_per_minute),
      .max = MOVES_PER_MINUTE_MAX,
      .default_value = MOVES_PER_MINUTE_DEFAULT,
  },
};

static const struct bgap_schema_field service_fields[] = {
  NAME_FIELD (bgap_resource_service, name),
  NAME_FIELD (bgap_resource_service, owner),
  {
      .name = "keyed",
      .type = BGAP_SCHEMA_BOOL,
      .offset = offsetof (struct bgap_resource_service, keyed),
  },
  {
      .name = "slices",
      .type = BGAP_SCHEMA_UINT,
      .offset = offsetof (struct bgap_resource_service, slices),
      .min = 1,
      .max = 65536,
      .power_of_two = true,
  },
  {
      .name = "repeat",
      .type = BGAP_SCHEMA_CHOICE,
      .offset = offsetof (struct bgap_resource_service, repeat),
      .choices = repeat_names,
      .required = true,
  },
  {
      .name = "class",
      .type = BGAP_SCHEMA_CHOICE,
      .offset = offsetof (struct bgap_resource_service, class),
      .choices = class_names,
      .default_value = BGAP_RESOURCE_CLASS_NORMAL,
  },
  {
      .name = "deadline_ms",
      .type = BGAP_SCHEMA_UINT,
      .offset = offsetof (struct bgap_resource_service, deadline_ms),
      .min = 1,
      .max = DEADLINE_MS_MAX,
      .default_value = DEADLINE_MS_DEFAULT,
  },
  {
      .name = "retry_budget_percent",
      .type = BGAP_SCHEMA_UINT,
      .offset = offsetof (struct bgap_resource_service, retry_budget_percent),
      .max = 100,
      .default_value = RETRY_BUDGET_PERCENT_DEFAULT,
  },
  {
      .name = "queue_limit",
      .type = BGAP_SCHEMA_UINT,
      .offset = offsetof (struct bgap_resource_service, queue_limit),
      .min = 1,
      .max = QUEUE_LIMIT_MAX,
  },
  {
      .name = "repeat_window_s",
      .type = BGAP_SCHEMA_UINT,
      .offset = offsetof (struct bgap_resource_service, repeat_window_s),
      .min = 1,
      .max = REPEAT_WINDOW_S_MAX,
  },
  {
      .name = "ownership_policy",
      .type = BGAP_SCHEMA_NAME,
      .offset = offsetof (struct bgap_resource_service, ownership_policy),
  },
};

static const struct bgap_schema_field server_fields[] = {
  NAME_FIELD (bgap_resource_server, name),
  NAME_FIELD (bgap_resource_server, zone),
  {
      .name = "address",
      .type = BGAP_SCHEMA_ADDRESS,
      .offset = offsetof (struct bgap_resource_server, address),
      .required = true,
  },
  {
      .name = "slots",
      .type = BGAP_SCHEMA_UINT,
      .offset = offsetof (struct bgap_resource_server, slots),
      .min = 1,
      .max = SLOTS_MAX,
      .required = true,
  },
  {
      .name = "connections",
      .type = BGAP_SCHEMA_UINT,
      .offset = offsetof (struct bgap_resource_server, connections),
      .min = 1,
      .max = CONNECTIONS_MAX,
      .required = true,
  },
  {
      .name = "checks_grants",
      .type = BGAP_SCHEMA_BOOL,
      .offset = offsetof (struct bgap_resource_server, checks_grants),
  },
  {
      .name = "draining",
      .type = BGAP_SCHEMA_BOOL,
      .offset = offsetof (struct bgap_resource_server, draining),
  },
};

static const struct bgap_schema server_schema = {
  .name = "server",
  .size = sizeof (struct bgap_resource_server),
  .fields = server_fields,
  .field_count = COUNT (server_fields),
};

static const struct bgap_schema_field servers_fields[] = {
  NAME_FIELD (bgap_resource_servers, name),
  NAME_FIELD (bgap_resource_servers, owner),
  NAME_FIELD (bgap_resource_servers, service),
  {
      .name = "servers",
      .type = BGAP_SCHEMA_LIST,
      .offset = offsetof (struct bgap_resource_servers, servers),
      .count_offset = offsetof (struct bgap_resource_servers, server_count),
      .min = 1,
      .max = BGAP_SCHEMA_SERVERS_MAX,
      .schema = &server_schema,
      .required = true,
  },
};

#define KIND(variable, kind, text, table)                                     \
  static const struct bgap_schema variable = { .name = (text),                \
                                               .size = sizeof (struct kind),  \
                                               .fields = (table),             \
                                               .field_count = COUNT (table) }

KIND (owner_schema, bgap_resource_owner, "owner", owner_fields);
KIND (zone_schema, bgap_resource_zone, "zone", zone_fields);
KIND (policy_schema, bgap_resource_policy, "ownership_policy", policy_fields);
KIND (service_schema, bgap_resource_service, "service", service_fields);
KIND (servers_schema, bgap_resource_servers, "backend_servers",
      servers_fields);

const struct bgap_schema *const bgap_schema_kinds[BGAP_RESOURCE_KIND_COUNT] = {
  [BGAP_RESOURCE_OWNER] = &owner_schema,
  [BGAP_RESOURCE_ZONE] = &zone_schema,
  [BGAP_RESOURCE_POLICY] = &policy_schema,
  [BGAP_RESOURCE_SERVICE] = &service_schema,
  [BGAP_RESOURCE_SERVERS] = &servers_schema,
};
