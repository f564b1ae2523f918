/** Validator generated from schema/registry.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"RegistryMessage","description":"What hosts tell each other of endpoints.","type":"object","discriminator":{"propertyName":"type"},"required":["type"],"oneOf":[{"$ref":"#/$defs/Renew"},{"$ref":"#/$defs/Want"},{"$ref":"#/$defs/RegistryRoot"},{"$ref":"#/$defs/RegistryNews"},{"$ref":"#/$defs/RegistryCompare"},{"$ref":"#/$defs/RegistryEntries"}],"$defs":{"Id":{"title":"Id","type":"string","minLength":1,"maxLength":128},"RegistryEntry":{"title":"RegistryEntry","description":"What is known of one endpoint.","type":"object","additionalProperties":false,"required":["id","generation","phase","sequence"],"properties":{"id":{"$ref":"#/$defs/Id"},"generation":{"description":"Grows with each run of the endpoint.","type":"integer","minimum":0},"phase":{"$ref":"#/$defs/Phase"},"sequence":{"description":"Grows with each change in one phase of one generation.","type":"integer","minimum":0},"expired":{"description":"Host that let the lease run out; absent while it runs.","type":"string","minLength":1,"maxLength":64},"declared":{"description":"Incarnation that the endpoint itself stated.","type":"integer","minimum":0},"endpoint":{"$ref":"#/$defs/Endpoint"},"age":{"description":"Milliseconds since the endpoint left.","type":"integer","minimum":0}}},"Phase":{"title":"Phase","description":"An endpoint goes through these in order within a generation.","enum":["ready","draining","left"]},"Endpoint":{"title":"Endpoint","description":"Announcement of the endpoint, less its state.","type":"object","additionalProperties":false,"required":["service","kind","url","dataCentre"],"properties":{"service":{"type":"string","minLength":1},"kind":{"enum":["engine","encoder","retriever","reranker","plain"]},"url":{"type":"string","pattern":"^https?://"},"dataCentre":{"type":"string","minLength":1},"slots":{"type":"integer","minimum":1},"fencing":{"enum":["checks","ignores","unknown"]},"role":{"enum":["both","prefill","decode"]},"models":{"type":"array","items":{"type":"string"}}}},"Renewal":{"title":"Renewal","type":"object","additionalProperties":false,"required":["id","generation"],"properties":{"id":{"$ref":"#/$defs/Id"},"generation":{"type":"integer","minimum":0}}},"Renew":{"title":"Renew","description":"Renewals that the sender heard, for the holder of the leases.","type":"object","additionalProperties":false,"required":["type","renewals"],"properties":{"type":{"const":"renew"},"renewals":{"type":"array","items":{"$ref":"#/$defs/Renewal"}},"forwarded":{"description":"Set by a host that took the sender's mistake on itself.","type":"boolean"}}},"Want":{"title":"Want","description":"Asks for entries that the sender does not know.","type":"object","additionalProperties":false,"required":["type","ids"],"properties":{"type":{"const":"want"},"ids":{"type":"array","items":{"$ref":"#/$defs/Id"}}}},"RegistryRoot":{"title":"RegistryRoot","description":"Hash of the sender's copy.","type":"object","additionalProperties":false,"required":["type","root"],"properties":{"type":{"const":"root"},"root":{"type":"string","maxLength":8}}},"RegistryNews":{"title":"RegistryNews","description":"Changes on their way to all hosts.","type":"object","additionalProperties":false,"required":["type","news"],"properties":{"type":{"const":"news"},"news":{"$ref":"#/$defs/RegistryList"},"expired":{"description":"Id, hash of the version and host that let the lease run out, of endpoints that the receiver should know.","type":"array","maxItems":512,"items":{"type":"string","minLength":1,"maxLength":256}}}},"RegistryCompare":{"title":"RegistryCompare","description":"Hashes of all groups, or of the buckets of one group.","type":"object","additionalProperties":false,"required":["type","hashes"],"properties":{"type":{"const":"compare"},"group":{"type":"integer","minimum":0,"maximum":15},"hashes":{"type":"array","maxItems":32,"items":{"type":"string","maxLength":8}}}},"RegistryEntries":{"title":"RegistryEntries","description":"All that the sender knows in some buckets.","type":"object","additionalProperties":false,"required":["type","buckets","news","reply"],"properties":{"type":{"const":"entries"},"buckets":{"type":"array","maxItems":256,"items":{"type":"integer","minimum":0,"maximum":255}},"news":{"$ref":"#/$defs/RegistryList"},"reply":{"description":"Whether the sender wants back what is newer.","type":"boolean"}}},"RegistryList":{"title":"RegistryList","type":"array","maxItems":512,"items":{"$ref":"#/$defs/RegistryEntry"}}}};
const schema44 = {"title":"RegistryRoot","description":"Hash of the sender's copy.","type":"object","additionalProperties":false,"required":["type","root"],"properties":{"type":{"const":"root"},"root":{"type":"string","maxLength":8}}};
const schema45 = {"title":"RegistryCompare","description":"Hashes of all groups, or of the buckets of one group.","type":"object","additionalProperties":false,"required":["type","hashes"],"properties":{"type":{"const":"compare"},"group":{"type":"integer","minimum":0,"maximum":15},"hashes":{"type":"array","maxItems":32,"items":{"type":"string","maxLength":8}}}};
const schema32 = {"title":"Renew","description":"Renewals that the sender heard, for the holder of the leases.","type":"object","additionalProperties":false,"required":["type","renewals"],"properties":{"type":{"const":"renew"},"renewals":{"type":"array","items":{"$ref":"#/$defs/Renewal"}},"forwarded":{"description":"Set by a host that took the sender's mistake on itself.","type":"boolean"}}};
const schema33 = {"title":"Renewal","type":"object","additionalProperties":false,"required":["id","generation"],"properties":{"id":{"$ref":"#/$defs/Id"},"generation":{"type":"integer","minimum":0}}};
const schema34 = {"title":"Id","type":"string","minLength":1,"maxLength":128};

function validate22(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate22.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.id === undefined) && (missing0 = "id")) || ((data.generation === undefined) && (missing0 = "generation"))){
validate22.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema33.required,parentSchema:schema33,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((key0 === "id") || (key0 === "generation"))){
validate22.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema33,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.id !== undefined){
let data0 = data.id;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(data0.length > 128){
validate22.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/maxLength",keyword:"maxLength",params:{limit: 128},message:"must NOT have more than 128 characters",schema:128,parentSchema:schema34,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate22.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34,data:data0}];
return false;
}
}
}
else {
validate22.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.type,parentSchema:schema34,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.generation !== undefined){
let data1 = data.generation;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate22.errors = [{instancePath:instancePath+"/generation",schemaPath:"#/properties/generation/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.properties.generation.type,parentSchema:schema33.properties.generation,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate22.errors = [{instancePath:instancePath+"/generation",schemaPath:"#/properties/generation/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33.properties.generation,data:data1}];
return false;
}
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate22.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema33.type,parentSchema:schema33,data}];
return false;
}
}
validate22.errors = vErrors;
return errors === 0;
}
validate22.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate21(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate21.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.renewals === undefined) && (missing0 = "renewals"))){
validate21.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema32.required,parentSchema:schema32,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "type") || (key0 === "renewals")) || (key0 === "forwarded"))){
validate21.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema32,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("renew" !== data0){
validate21.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "renew"},message:"must be equal to constant",schema:"renew",parentSchema:schema32.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.renewals !== undefined){
let data1 = data.renewals;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
const _errs5 = errors;
if(!(validate22(data1[i0], {instancePath:instancePath+"/renewals/" + i0,parentData:data1,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
else {
validate21.errors = [{instancePath:instancePath+"/renewals",schemaPath:"#/properties/renewals/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema32.properties.renewals.type,parentSchema:schema32.properties.renewals,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.forwarded !== undefined){
let data3 = data.forwarded;
const _errs6 = errors;
if(typeof data3 !== "boolean"){
validate21.errors = [{instancePath:instancePath+"/forwarded",schemaPath:"#/properties/forwarded/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema32.properties.forwarded.type,parentSchema:schema32.properties.forwarded,data:data3}];
return false;
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema35 = {"title":"Want","description":"Asks for entries that the sender does not know.","type":"object","additionalProperties":false,"required":["type","ids"],"properties":{"type":{"const":"want"},"ids":{"type":"array","items":{"$ref":"#/$defs/Id"}}}};

function validate24(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate24.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.ids === undefined) && (missing0 = "ids"))){
validate24.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema35.required,parentSchema:schema35,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((key0 === "type") || (key0 === "ids"))){
validate24.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema35,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("want" !== data0){
validate24.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "want"},message:"must be equal to constant",schema:"want",parentSchema:schema35.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.ids !== undefined){
let data1 = data.ids;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
let data2 = data1[i0];
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 128){
validate24.errors = [{instancePath:instancePath+"/ids/" + i0,schemaPath:"#/$defs/Id/maxLength",keyword:"maxLength",params:{limit: 128},message:"must NOT have more than 128 characters",schema:128,parentSchema:schema34,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate24.errors = [{instancePath:instancePath+"/ids/" + i0,schemaPath:"#/$defs/Id/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34,data:data2}];
return false;
}
}
}
else {
validate24.errors = [{instancePath:instancePath+"/ids/" + i0,schemaPath:"#/$defs/Id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.type,parentSchema:schema34,data:data2}];
return false;
}
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
else {
validate24.errors = [{instancePath:instancePath+"/ids",schemaPath:"#/properties/ids/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema35.properties.ids.type,parentSchema:schema35.properties.ids,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate24.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema35.type,parentSchema:schema35,data}];
return false;
}
}
validate24.errors = vErrors;
return errors === 0;
}
validate24.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema37 = {"title":"RegistryNews","description":"Changes on their way to all hosts.","type":"object","additionalProperties":false,"required":["type","news"],"properties":{"type":{"const":"news"},"news":{"$ref":"#/$defs/RegistryList"},"expired":{"description":"Id, hash of the version and host that let the lease run out, of endpoints that the receiver should know.","type":"array","maxItems":512,"items":{"type":"string","minLength":1,"maxLength":256}}}};
const schema38 = {"title":"RegistryList","type":"array","maxItems":512,"items":{"$ref":"#/$defs/RegistryEntry"}};
const schema39 = {"title":"RegistryEntry","description":"What is known of one endpoint.","type":"object","additionalProperties":false,"required":["id","generation","phase","sequence"],"properties":{"id":{"$ref":"#/$defs/Id"},"generation":{"description":"Grows with each run of the endpoint.","type":"integer","minimum":0},"phase":{"$ref":"#/$defs/Phase"},"sequence":{"description":"Grows with each change in one phase of one generation.","type":"integer","minimum":0},"expired":{"description":"Host that let the lease run out; absent while it runs.","type":"string","minLength":1,"maxLength":64},"declared":{"description":"Incarnation that the endpoint itself stated.","type":"integer","minimum":0},"endpoint":{"$ref":"#/$defs/Endpoint"},"age":{"description":"Milliseconds since the endpoint left.","type":"integer","minimum":0}}};
const schema41 = {"title":"Phase","description":"An endpoint goes through these in order within a generation.","enum":["ready","draining","left"]};
const schema42 = {"title":"Endpoint","description":"Announcement of the endpoint, less its state.","type":"object","additionalProperties":false,"required":["service","kind","url","dataCentre"],"properties":{"service":{"type":"string","minLength":1},"kind":{"enum":["engine","encoder","retriever","reranker","plain"]},"url":{"type":"string","pattern":"^https?://"},"dataCentre":{"type":"string","minLength":1},"slots":{"type":"integer","minimum":1},"fencing":{"enum":["checks","ignores","unknown"]},"role":{"enum":["both","prefill","decode"]},"models":{"type":"array","items":{"type":"string"}}}};
const pattern4 = new RegExp("^https?://", "u");

function validate27(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate27.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.id === undefined) && (missing0 = "id")) || ((data.generation === undefined) && (missing0 = "generation"))) || ((data.phase === undefined) && (missing0 = "phase"))) || ((data.sequence === undefined) && (missing0 = "sequence"))){
validate27.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema39.required,parentSchema:schema39,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((((((key0 === "id") || (key0 === "generation")) || (key0 === "phase")) || (key0 === "sequence")) || (key0 === "expired")) || (key0 === "declared")) || (key0 === "endpoint")) || (key0 === "age"))){
validate27.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema39,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.id !== undefined){
let data0 = data.id;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(data0.length > 128){
validate27.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/maxLength",keyword:"maxLength",params:{limit: 128},message:"must NOT have more than 128 characters",schema:128,parentSchema:schema34,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate27.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34,data:data0}];
return false;
}
}
}
else {
validate27.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.type,parentSchema:schema34,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.generation !== undefined){
let data1 = data.generation;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate27.errors = [{instancePath:instancePath+"/generation",schemaPath:"#/properties/generation/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema39.properties.generation.type,parentSchema:schema39.properties.generation,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate27.errors = [{instancePath:instancePath+"/generation",schemaPath:"#/properties/generation/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema39.properties.generation,data:data1}];
return false;
}
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.phase !== undefined){
let data2 = data.phase;
const _errs7 = errors;
if(!(((data2 === "ready") || (data2 === "draining")) || (data2 === "left"))){
validate27.errors = [{instancePath:instancePath+"/phase",schemaPath:"#/$defs/Phase/enum",keyword:"enum",params:{allowedValues: schema41.enum},message:"must be equal to one of the allowed values",schema:schema41.enum,parentSchema:schema41,data:data2}];
return false;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.sequence !== undefined){
let data3 = data.sequence;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate27.errors = [{instancePath:instancePath+"/sequence",schemaPath:"#/properties/sequence/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema39.properties.sequence.type,parentSchema:schema39.properties.sequence,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate27.errors = [{instancePath:instancePath+"/sequence",schemaPath:"#/properties/sequence/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema39.properties.sequence,data:data3}];
return false;
}
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.expired !== undefined){
let data4 = data.expired;
const _errs11 = errors;
if(errors === _errs11){
if(typeof data4 === "string"){
if(data4.length > 64){
validate27.errors = [{instancePath:instancePath+"/expired",schemaPath:"#/properties/expired/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema39.properties.expired,data:data4}];
return false;
}
else {
if(data4.length < 1){
validate27.errors = [{instancePath:instancePath+"/expired",schemaPath:"#/properties/expired/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema39.properties.expired,data:data4}];
return false;
}
}
}
else {
validate27.errors = [{instancePath:instancePath+"/expired",schemaPath:"#/properties/expired/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema39.properties.expired.type,parentSchema:schema39.properties.expired,data:data4}];
return false;
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.declared !== undefined){
let data5 = data.declared;
const _errs13 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate27.errors = [{instancePath:instancePath+"/declared",schemaPath:"#/properties/declared/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema39.properties.declared.type,parentSchema:schema39.properties.declared,data:data5}];
return false;
}
if(errors === _errs13){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate27.errors = [{instancePath:instancePath+"/declared",schemaPath:"#/properties/declared/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema39.properties.declared,data:data5}];
return false;
}
}
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.endpoint !== undefined){
let data6 = data.endpoint;
const _errs15 = errors;
const _errs16 = errors;
if(errors === _errs16){
if(data6 && typeof data6 == "object" && !Array.isArray(data6)){
let missing1;
if(((((data6.service === undefined) && (missing1 = "service")) || ((data6.kind === undefined) && (missing1 = "kind"))) || ((data6.url === undefined) && (missing1 = "url"))) || ((data6.dataCentre === undefined) && (missing1 = "dataCentre"))){
validate27.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Endpoint/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema42.required,parentSchema:schema42,data:data6}];
return false;
}
else {
const _errs18 = errors;
for(const key1 in data6){
if(!((((((((key1 === "service") || (key1 === "kind")) || (key1 === "url")) || (key1 === "dataCentre")) || (key1 === "slots")) || (key1 === "fencing")) || (key1 === "role")) || (key1 === "models"))){
validate27.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Endpoint/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema42,data:data6}];
return false;
break;
}
}
if(_errs18 === errors){
if(data6.service !== undefined){
let data7 = data6.service;
const _errs19 = errors;
if(errors === _errs19){
if(typeof data7 === "string"){
if(data7.length < 1){
validate27.errors = [{instancePath:instancePath+"/endpoint/service",schemaPath:"#/$defs/Endpoint/properties/service/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema42.properties.service,data:data7}];
return false;
}
}
else {
validate27.errors = [{instancePath:instancePath+"/endpoint/service",schemaPath:"#/$defs/Endpoint/properties/service/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema42.properties.service.type,parentSchema:schema42.properties.service,data:data7}];
return false;
}
}
var valid4 = _errs19 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data6.kind !== undefined){
let data8 = data6.kind;
const _errs21 = errors;
if(!(((((data8 === "engine") || (data8 === "encoder")) || (data8 === "retriever")) || (data8 === "reranker")) || (data8 === "plain"))){
validate27.errors = [{instancePath:instancePath+"/endpoint/kind",schemaPath:"#/$defs/Endpoint/properties/kind/enum",keyword:"enum",params:{allowedValues: schema42.properties.kind.enum},message:"must be equal to one of the allowed values",schema:schema42.properties.kind.enum,parentSchema:schema42.properties.kind,data:data8}];
return false;
}
var valid4 = _errs21 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data6.url !== undefined){
let data9 = data6.url;
const _errs22 = errors;
if(errors === _errs22){
if(typeof data9 === "string"){
if(!pattern4.test(data9)){
validate27.errors = [{instancePath:instancePath+"/endpoint/url",schemaPath:"#/$defs/Endpoint/properties/url/pattern",keyword:"pattern",params:{pattern: "^https?://"},message:"must match pattern \""+"^https?://"+"\"",schema:"^https?://",parentSchema:schema42.properties.url,data:data9}];
return false;
}
}
else {
validate27.errors = [{instancePath:instancePath+"/endpoint/url",schemaPath:"#/$defs/Endpoint/properties/url/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema42.properties.url.type,parentSchema:schema42.properties.url,data:data9}];
return false;
}
}
var valid4 = _errs22 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data6.dataCentre !== undefined){
let data10 = data6.dataCentre;
const _errs24 = errors;
if(errors === _errs24){
if(typeof data10 === "string"){
if(data10.length < 1){
validate27.errors = [{instancePath:instancePath+"/endpoint/dataCentre",schemaPath:"#/$defs/Endpoint/properties/dataCentre/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema42.properties.dataCentre,data:data10}];
return false;
}
}
else {
validate27.errors = [{instancePath:instancePath+"/endpoint/dataCentre",schemaPath:"#/$defs/Endpoint/properties/dataCentre/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema42.properties.dataCentre.type,parentSchema:schema42.properties.dataCentre,data:data10}];
return false;
}
}
var valid4 = _errs24 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data6.slots !== undefined){
let data11 = data6.slots;
const _errs26 = errors;
if(!(((typeof data11 == "number") && (!(data11 % 1) && !isNaN(data11))) && (isFinite(data11)))){
validate27.errors = [{instancePath:instancePath+"/endpoint/slots",schemaPath:"#/$defs/Endpoint/properties/slots/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema42.properties.slots.type,parentSchema:schema42.properties.slots,data:data11}];
return false;
}
if(errors === _errs26){
if((typeof data11 == "number") && (isFinite(data11))){
if(data11 < 1 || isNaN(data11)){
validate27.errors = [{instancePath:instancePath+"/endpoint/slots",schemaPath:"#/$defs/Endpoint/properties/slots/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema42.properties.slots,data:data11}];
return false;
}
}
}
var valid4 = _errs26 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data6.fencing !== undefined){
let data12 = data6.fencing;
const _errs28 = errors;
if(!(((data12 === "checks") || (data12 === "ignores")) || (data12 === "unknown"))){
validate27.errors = [{instancePath:instancePath+"/endpoint/fencing",schemaPath:"#/$defs/Endpoint/properties/fencing/enum",keyword:"enum",params:{allowedValues: schema42.properties.fencing.enum},message:"must be equal to one of the allowed values",schema:schema42.properties.fencing.enum,parentSchema:schema42.properties.fencing,data:data12}];
return false;
}
var valid4 = _errs28 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data6.role !== undefined){
let data13 = data6.role;
const _errs29 = errors;
if(!(((data13 === "both") || (data13 === "prefill")) || (data13 === "decode"))){
validate27.errors = [{instancePath:instancePath+"/endpoint/role",schemaPath:"#/$defs/Endpoint/properties/role/enum",keyword:"enum",params:{allowedValues: schema42.properties.role.enum},message:"must be equal to one of the allowed values",schema:schema42.properties.role.enum,parentSchema:schema42.properties.role,data:data13}];
return false;
}
var valid4 = _errs29 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data6.models !== undefined){
let data14 = data6.models;
const _errs30 = errors;
if(errors === _errs30){
if(Array.isArray(data14)){
var valid5 = true;
const len0 = data14.length;
for(let i0=0; i0<len0; i0++){
let data15 = data14[i0];
const _errs32 = errors;
if(typeof data15 !== "string"){
validate27.errors = [{instancePath:instancePath+"/endpoint/models/" + i0,schemaPath:"#/$defs/Endpoint/properties/models/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema42.properties.models.items.type,parentSchema:schema42.properties.models.items,data:data15}];
return false;
}
var valid5 = _errs32 === errors;
if(!valid5){
break;
}
}
}
else {
validate27.errors = [{instancePath:instancePath+"/endpoint/models",schemaPath:"#/$defs/Endpoint/properties/models/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema42.properties.models.type,parentSchema:schema42.properties.models,data:data14}];
return false;
}
}
var valid4 = _errs30 === errors;
}
else {
var valid4 = true;
}
}
}
}
}
}
}
}
}
}
}
else {
validate27.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Endpoint/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema42.type,parentSchema:schema42,data:data6}];
return false;
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.age !== undefined){
let data16 = data.age;
const _errs34 = errors;
if(!(((typeof data16 == "number") && (!(data16 % 1) && !isNaN(data16))) && (isFinite(data16)))){
validate27.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema39.properties.age.type,parentSchema:schema39.properties.age,data:data16}];
return false;
}
if(errors === _errs34){
if((typeof data16 == "number") && (isFinite(data16))){
if(data16 < 0 || isNaN(data16)){
validate27.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema39.properties.age,data:data16}];
return false;
}
}
}
var valid0 = _errs34 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
else {
validate27.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema39.type,parentSchema:schema39,data}];
return false;
}
}
validate27.errors = vErrors;
return errors === 0;
}
validate27.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate26(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate26.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(Array.isArray(data)){
if(data.length > 512){
validate26.errors = [{instancePath,schemaPath:"#/maxItems",keyword:"maxItems",params:{limit: 512},message:"must NOT have more than 512 items",schema:512,parentSchema:schema38,data}];
return false;
}
else {
var valid0 = true;
const len0 = data.length;
for(let i0=0; i0<len0; i0++){
const _errs1 = errors;
if(!(validate27(data[i0], {instancePath:instancePath+"/" + i0,parentData:data,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate27.errors : vErrors.concat(validate27.errors);
errors = vErrors.length;
}
var valid0 = _errs1 === errors;
if(!valid0){
break;
}
}
}
}
else {
validate26.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema38.type,parentSchema:schema38,data}];
return false;
}
}
validate26.errors = vErrors;
return errors === 0;
}
validate26.evaluated = {"items":true,"dynamicProps":false,"dynamicItems":false};


function validate25(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate25.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.news === undefined) && (missing0 = "news"))){
validate25.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema37.required,parentSchema:schema37,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "type") || (key0 === "news")) || (key0 === "expired"))){
validate25.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema37,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("news" !== data0){
validate25.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "news"},message:"must be equal to constant",schema:"news",parentSchema:schema37.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.news !== undefined){
const _errs3 = errors;
if(!(validate26(data.news, {instancePath:instancePath+"/news",parentData:data,parentDataProperty:"news",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate26.errors : vErrors.concat(validate26.errors);
errors = vErrors.length;
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.expired !== undefined){
let data2 = data.expired;
const _errs4 = errors;
if(errors === _errs4){
if(Array.isArray(data2)){
if(data2.length > 512){
validate25.errors = [{instancePath:instancePath+"/expired",schemaPath:"#/properties/expired/maxItems",keyword:"maxItems",params:{limit: 512},message:"must NOT have more than 512 items",schema:512,parentSchema:schema37.properties.expired,data:data2}];
return false;
}
else {
var valid1 = true;
const len0 = data2.length;
for(let i0=0; i0<len0; i0++){
let data3 = data2[i0];
const _errs6 = errors;
if(errors === _errs6){
if(typeof data3 === "string"){
if(data3.length > 256){
validate25.errors = [{instancePath:instancePath+"/expired/" + i0,schemaPath:"#/properties/expired/items/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema37.properties.expired.items,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate25.errors = [{instancePath:instancePath+"/expired/" + i0,schemaPath:"#/properties/expired/items/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema37.properties.expired.items,data:data3}];
return false;
}
}
}
else {
validate25.errors = [{instancePath:instancePath+"/expired/" + i0,schemaPath:"#/properties/expired/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema37.properties.expired.items.type,parentSchema:schema37.properties.expired.items,data:data3}];
return false;
}
}
var valid1 = _errs6 === errors;
if(!valid1){
break;
}
}
}
}
else {
validate25.errors = [{instancePath:instancePath+"/expired",schemaPath:"#/properties/expired/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema37.properties.expired.type,parentSchema:schema37.properties.expired,data:data2}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate25.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema37.type,parentSchema:schema37,data}];
return false;
}
}
validate25.errors = vErrors;
return errors === 0;
}
validate25.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema43 = {"title":"RegistryEntries","description":"All that the sender knows in some buckets.","type":"object","additionalProperties":false,"required":["type","buckets","news","reply"],"properties":{"type":{"const":"entries"},"buckets":{"type":"array","maxItems":256,"items":{"type":"integer","minimum":0,"maximum":255}},"news":{"$ref":"#/$defs/RegistryList"},"reply":{"description":"Whether the sender wants back what is newer.","type":"boolean"}}};

function validate30(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate30.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.buckets === undefined) && (missing0 = "buckets"))) || ((data.news === undefined) && (missing0 = "news"))) || ((data.reply === undefined) && (missing0 = "reply"))){
validate30.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema43.required,parentSchema:schema43,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((key0 === "type") || (key0 === "buckets")) || (key0 === "news")) || (key0 === "reply"))){
validate30.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema43,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if("entries" !== data0){
validate30.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "entries"},message:"must be equal to constant",schema:"entries",parentSchema:schema43.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.buckets !== undefined){
let data1 = data.buckets;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
if(data1.length > 256){
validate30.errors = [{instancePath:instancePath+"/buckets",schemaPath:"#/properties/buckets/maxItems",keyword:"maxItems",params:{limit: 256},message:"must NOT have more than 256 items",schema:256,parentSchema:schema43.properties.buckets,data:data1}];
return false;
}
else {
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
let data2 = data1[i0];
const _errs5 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate30.errors = [{instancePath:instancePath+"/buckets/" + i0,schemaPath:"#/properties/buckets/items/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema43.properties.buckets.items.type,parentSchema:schema43.properties.buckets.items,data:data2}];
return false;
}
if(errors === _errs5){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 > 255 || isNaN(data2)){
validate30.errors = [{instancePath:instancePath+"/buckets/" + i0,schemaPath:"#/properties/buckets/items/maximum",keyword:"maximum",params:{comparison: "<=", limit: 255},message:"must be <= 255",schema:255,parentSchema:schema43.properties.buckets.items,data:data2}];
return false;
}
else {
if(data2 < 0 || isNaN(data2)){
validate30.errors = [{instancePath:instancePath+"/buckets/" + i0,schemaPath:"#/properties/buckets/items/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema43.properties.buckets.items,data:data2}];
return false;
}
}
}
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
}
else {
validate30.errors = [{instancePath:instancePath+"/buckets",schemaPath:"#/properties/buckets/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema43.properties.buckets.type,parentSchema:schema43.properties.buckets,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.news !== undefined){
const _errs7 = errors;
if(!(validate26(data.news, {instancePath:instancePath+"/news",parentData:data,parentDataProperty:"news",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate26.errors : vErrors.concat(validate26.errors);
errors = vErrors.length;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.reply !== undefined){
let data4 = data.reply;
const _errs8 = errors;
if(typeof data4 !== "boolean"){
validate30.errors = [{instancePath:instancePath+"/reply",schemaPath:"#/properties/reply/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema43.properties.reply.type,parentSchema:schema43.properties.reply,data:data4}];
return false;
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate30.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema43.type,parentSchema:schema43,data}];
return false;
}
}
validate30.errors = vErrors;
return errors === 0;
}
validate30.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "renew"){
if(!(validate21(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var props0 = true;
}
else if(tag0 === "want"){
if(!(validate24(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate24.errors : vErrors.concat(validate24.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "root"){
const _errs5 = errors;
if(errors === _errs5){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing1;
if(((data.type === undefined) && (missing1 = "type")) || ((data.root === undefined) && (missing1 = "root"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/RegistryRoot/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema44.required,parentSchema:schema44,data}];
return false;
}
else {
const _errs7 = errors;
for(const key0 in data){
if(!((key0 === "type") || (key0 === "root"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/RegistryRoot/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema44,data}];
return false;
break;
}
}
if(_errs7 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs8 = errors;
if("root" !== data0){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/RegistryRoot/properties/type/const",keyword:"const",params:{allowedValue: "root"},message:"must be equal to constant",schema:"root",parentSchema:schema44.properties.type,data:data0}];
return false;
}
var valid5 = _errs8 === errors;
}
else {
var valid5 = true;
}
if(valid5){
if(data.root !== undefined){
let data1 = data.root;
const _errs9 = errors;
if(errors === _errs9){
if(typeof data1 === "string"){
if(data1.length > 8){
validate20.errors = [{instancePath:instancePath+"/root",schemaPath:"#/$defs/RegistryRoot/properties/root/maxLength",keyword:"maxLength",params:{limit: 8},message:"must NOT have more than 8 characters",schema:8,parentSchema:schema44.properties.root,data:data1}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/root",schemaPath:"#/$defs/RegistryRoot/properties/root/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema44.properties.root.type,parentSchema:schema44.properties.root,data:data1}];
return false;
}
}
var valid5 = _errs9 === errors;
}
else {
var valid5 = true;
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/$defs/RegistryRoot/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema44.type,parentSchema:schema44,data}];
return false;
}
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "news"){
if(!(validate25(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate25.errors : vErrors.concat(validate25.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "compare"){
const _errs13 = errors;
if(errors === _errs13){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing2;
if(((data.type === undefined) && (missing2 = "type")) || ((data.hashes === undefined) && (missing2 = "hashes"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/RegistryCompare/required",keyword:"required",params:{missingProperty: missing2},message:"must have required property '"+missing2+"'",schema:schema45.required,parentSchema:schema45,data}];
return false;
}
else {
const _errs15 = errors;
for(const key1 in data){
if(!(((key1 === "type") || (key1 === "group")) || (key1 === "hashes"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/RegistryCompare/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema45,data}];
return false;
break;
}
}
if(_errs15 === errors){
if(data.type !== undefined){
let data2 = data.type;
const _errs16 = errors;
if("compare" !== data2){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/RegistryCompare/properties/type/const",keyword:"const",params:{allowedValue: "compare"},message:"must be equal to constant",schema:"compare",parentSchema:schema45.properties.type,data:data2}];
return false;
}
var valid9 = _errs16 === errors;
}
else {
var valid9 = true;
}
if(valid9){
if(data.group !== undefined){
let data3 = data.group;
const _errs17 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate20.errors = [{instancePath:instancePath+"/group",schemaPath:"#/$defs/RegistryCompare/properties/group/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema45.properties.group.type,parentSchema:schema45.properties.group,data:data3}];
return false;
}
if(errors === _errs17){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 > 15 || isNaN(data3)){
validate20.errors = [{instancePath:instancePath+"/group",schemaPath:"#/$defs/RegistryCompare/properties/group/maximum",keyword:"maximum",params:{comparison: "<=", limit: 15},message:"must be <= 15",schema:15,parentSchema:schema45.properties.group,data:data3}];
return false;
}
else {
if(data3 < 0 || isNaN(data3)){
validate20.errors = [{instancePath:instancePath+"/group",schemaPath:"#/$defs/RegistryCompare/properties/group/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema45.properties.group,data:data3}];
return false;
}
}
}
}
var valid9 = _errs17 === errors;
}
else {
var valid9 = true;
}
if(valid9){
if(data.hashes !== undefined){
let data4 = data.hashes;
const _errs19 = errors;
if(errors === _errs19){
if(Array.isArray(data4)){
if(data4.length > 32){
validate20.errors = [{instancePath:instancePath+"/hashes",schemaPath:"#/$defs/RegistryCompare/properties/hashes/maxItems",keyword:"maxItems",params:{limit: 32},message:"must NOT have more than 32 items",schema:32,parentSchema:schema45.properties.hashes,data:data4}];
return false;
}
else {
var valid10 = true;
const len0 = data4.length;
for(let i0=0; i0<len0; i0++){
let data5 = data4[i0];
const _errs21 = errors;
if(errors === _errs21){
if(typeof data5 === "string"){
if(data5.length > 8){
validate20.errors = [{instancePath:instancePath+"/hashes/" + i0,schemaPath:"#/$defs/RegistryCompare/properties/hashes/items/maxLength",keyword:"maxLength",params:{limit: 8},message:"must NOT have more than 8 characters",schema:8,parentSchema:schema45.properties.hashes.items,data:data5}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/hashes/" + i0,schemaPath:"#/$defs/RegistryCompare/properties/hashes/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema45.properties.hashes.items.type,parentSchema:schema45.properties.hashes.items,data:data5}];
return false;
}
}
var valid10 = _errs21 === errors;
if(!valid10){
break;
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/hashes",schemaPath:"#/$defs/RegistryCompare/properties/hashes/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema45.properties.hashes.type,parentSchema:schema45.properties.hashes,data:data4}];
return false;
}
}
var valid9 = _errs19 === errors;
}
else {
var valid9 = true;
}
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/$defs/RegistryCompare/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema45.type,parentSchema:schema45,data}];
return false;
}
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "entries"){
if(!(validate30(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate30.errors : vErrors.concat(validate30.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate20.evaluated = {"dynamicProps":true,"dynamicItems":false};

