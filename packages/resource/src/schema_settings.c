#include "banyangap/resource/settings.h"
#include "schema.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))

/* Defaults and largest values of the limits.  */
#define CONNECTIONS_DEFAULT 4096
#define CONNECTIONS_MAX 65535
#define REQUESTS_DEFAULT 4096
#define REQUESTS_MAX 65535
#define READINESS_WAIT_MS_DEFAULT 3000
#define SHUTDOWN_MS_DEFAULT 30000
#define WAIT_MS_MAX 3600000

static const char *const log_level_names[]
    = { "error", "warn", "info", "debug", NULL };
#define LOG_LEVEL_INFO 2

#define LIMIT_FIELD(field, low, high, value)                                  \
  {                                                                           \
    .name = #field, .type = BGAP_SCHEMA_UINT,                                 \
    .offset = offsetof (struct bgap_settings_limits, field), .min = (low),    \
    .max = (high), .default_value = (value)                                   \
  }

static const struct bgap_schema_field limits_fields[] = {
  LIMIT_FIELD (connections_max, 1, CONNECTIONS_MAX, CONNECTIONS_DEFAULT),
  LIMIT_FIELD (requests_max, 1, REQUESTS_MAX, REQUESTS_DEFAULT),
  LIMIT_FIELD (readiness_wait_ms, 0, WAIT_MS_MAX, READINESS_WAIT_MS_DEFAULT),
  LIMIT_FIELD (shutdown_ms, 0, WAIT_MS_MAX, SHUTDOWN_MS_DEFAULT),
};

static const struct bgap_schema limits_schema = {
  .name = "limits",
  .size = sizeof (struct bgap_settings_limits),
  .fields = limits_fields,
  .field_count = COUNT (limits_fields),
};

#define NAME_FIELD(field)                                                     \
  {                                                                           \
    .name = #field, .type = BGAP_SCHEMA_NAME,                                 \
    .offset = offsetof (struct bgap_settings, field), .required = true        \
  }

#define ADDRESS_FIELD(field, listen)                                          \
  {                                                                           \
    .name = #field, .type = BGAP_SCHEMA_ADDRESS,                              \
    .offset = offsetof (struct bgap_settings, field), .required = true,       \
    .listens = (listen)                                                       \
  }

static const struct bgap_schema_field settings_fields[] = {
  NAME_FIELD (name),
  NAME_FIELD (zone),
  NAME_FIELD (deployment),
  ADDRESS_FIELD (callers_address, true),
  ADDRESS_FIELD (peers_address, true),
  ADDRESS_FIELD (operators_address, true),
  ADDRESS_FIELD (log_address, false),
  ADDRESS_FIELD (host_list_address, false),
  {
      .name = "log_level",
      .type = BGAP_SCHEMA_CHOICE_STRING,
      .offset = offsetof (struct bgap_settings, log_level),
      .choices = log_level_names,
      .default_value = LOG_LEVEL_INFO,
  },
  {
      .name = "operator_token_sha256",
      .type = BGAP_SCHEMA_DIGEST,
      .offset = offsetof (struct bgap_settings, operator_token_sha256),
  },
  {
      .name = "limits",
      .type = BGAP_SCHEMA_MAPPING,
      .offset = offsetof (struct bgap_settings, limits),
      .schema = &limits_schema,
  },
};

const struct bgap_schema bgap_schema_settings = {
  .name = "settings",
  .size = sizeof (struct bgap_settings),
  .fields = settings_fields,
  .field_count = COUNT (settings_fields),
};
